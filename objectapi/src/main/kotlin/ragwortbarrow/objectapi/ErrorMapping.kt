package ragwortbarrow.objectapi

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import kotlinx.serialization.SerializationException
import ragwortbarrow.core.store.StatusDocument
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.storeJson
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

/** Maps a completely received response to a result. */
internal fun mapResponse(status: HttpStatusCode, text: String): Result<String, StoreError> {
    if (status.isSuccess()) return Ok(text)
    val document = parseStatus(text)
    val message = document.message.ifEmpty { "the platform returned status ${status.value}" }
    return Err(
        when (status) {
            HttpStatusCode.NotFound -> StoreError.NotFound(message)
            HttpStatusCode.Conflict ->
                if (document.reason == "AlreadyExists") {
                    StoreError.AlreadyExists(message)
                } else {
                    StoreError.Conflict(message)
                }
            HttpStatusCode.TooManyRequests, HttpStatusCode.ServiceUnavailable -> StoreError.Unavailable(message)
            // A server or gateway that fails midway may already have forwarded the write.
            HttpStatusCode.RequestTimeout -> StoreError.OutcomeUnknown(message)
            else -> if (status.value >= 500) StoreError.OutcomeUnknown(message) else StoreError.Rejected(message)
        },
    )
}

/** Maps the failure of a call without a complete response; it certainly had no effect only if connecting failed. */
internal fun mapException(failure: Exception): StoreError {
    val message = "${failure.javaClass.simpleName}: ${failure.message}"
    val causes = generateSequence<Throwable>(failure) { it.cause }.take(8)
    val connectFailed = causes.any {
        it is ConnectException ||
            it is ConnectTimeoutException ||
            it is UnresolvedAddressException ||
            it is NoRouteToHostException
    }
    return if (connectFailed) StoreError.Unavailable(message) else StoreError.OutcomeUnknown(message)
}

private fun parseStatus(text: String): StatusDocument = try {
    storeJson.decodeFromString(text)
} catch (failure: SerializationException) {
    StatusDocument()
}
