package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.toResultOr
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.utils.io.ClosedWriteChannelException
import kotlinx.coroutines.CancellationException
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.log.record
import ragwortbarrow.core.manifest.Customer
import java.io.IOException
import java.util.UUID

/** One request of a caller on its way through the node. */
internal class ServedCall(val call: ApplicationCall, val parts: CallerParts, private val route: String) {
    val requestId = RequestId(UUID.randomUUID().toString())
    val startNanos: Long = parts.timer.nanoTime()
    private var grant: KeyGrant? = null
    private var code: ResultCode? = null

    /** Runs [handle] unless the node drains, answers with the error it returns, and records how the call ended. */
    suspend fun serve(handle: suspend ServedCall.() -> Result<Unit, ServingError>) {
        call.response.header("X-Request-Id", requestId.value)
        if (parts.drain.isDraining) call.response.header(HttpHeaders.Connection, "close")
        if (!parts.drain.enter()) {
            fail(ServingError.Unavailable(ResultCode.DRAINING, "this node is shutting down", DRAIN_RETRY_MILLIS))
            return finished()
        }
        try {
            handle().mapError { fail(it) }
        } catch (gone: IOException) {
            closed(gone)
        } catch (cancelled: CancellationException) {
            closed(cancelled)
            throw cancelled
        } catch (failure: Exception) {
            parts.log.record("request-fault", "request_id" to requestId, "exception" to failure.stackTraceToString())
            fail(ServingError.BackendFailed(ResultCode.INTERNAL, "internal fault", Execution.UNKNOWN))
        } finally {
            parts.drain.exit()
            finished()
        }
    }

    /** The grant of the caller's key. */
    fun authenticate(): Result<KeyGrant, ServingError> =
        parts.keys.authenticate(call.bearerKey()).also { result -> grant = result.component1() }

    /** The customer of [grant] as the configuration in force describes it. */
    fun customerOf(grant: KeyGrant, configuration: ConfigurationSnapshot): Result<Customer, ServingError> =
        configuration.customers[grant.customer].toResultOr {
            ServingError.NotAuthorized(
                ResultCode.KEY_OF_OTHER_CUSTOMER,
                "the configuration has no customer '${grant.customer}'",
            )
        }

    fun configuration(): Result<ConfigurationSnapshot, ServingError> = parts.configuration.current?.let { Ok(it) }
        ?: Err(ServingError.Unavailable(ResultCode.NO_CONFIGURATION, "no configuration is in force yet", 1_000))

    fun bodyLimitBytes(configuration: ConfigurationSnapshot): Long =
        (parts.bodyLimitBytes ?: configuration.manifest.fleet.bodyLimitBytes).toLong()

    /** Counts an error that the caller is told of in another way than by the status. */
    fun noteError(error: ServingError) {
        code = error.code
        parts.metrics.refused(error.code)
    }

    private suspend fun fail(error: ServingError) {
        noteError(error)
        if (!call.response.isCommitted) call.respondError(error)
    }

    private fun closed(cause: Exception) {
        if (cause is ClosedWriteChannelException || cause is IOException || cause is CancellationException) {
            parts.log.record("caller-gone", "request_id" to requestId, "route" to route)
        }
    }

    private fun finished() {
        val nanos = parts.timer.nanoTime() - startNanos
        val status = call.response.status()?.value ?: CLIENT_CLOSED
        parts.metrics.requestFinished(route, status, nanos)
        parts.log.record(
            "request",
            "request_id" to requestId,
            "route" to route,
            "status" to status,
            "code" to code?.number,
            "customer" to grant?.customer,
            "key_id" to grant?.id,
            "duration_micros" to nanos / 1_000,
        )
    }

    private companion object {
        /** What logs and metrics say when the caller left before an answer; the number is the usual one for this. */
        const val CLIENT_CLOSED = 499
        const val DRAIN_RETRY_MILLIS = 1_000L
    }
}
