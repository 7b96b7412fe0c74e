package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError

/** Reads the whole body, or refuses it when it has more than [limitBytes]. */
internal suspend fun ApplicationCall.readBody(limitBytes: Long): Result<ByteArray, ServingError> {
    val announcedBytes = request.contentLength() ?: 0
    val body = if (announcedBytes > limitBytes) null else receiveChannel().readRemaining(limitBytes + 1).readByteArray()
    if (body != null && body.size <= limitBytes) return Ok(body)
    // The rest of the body is not read, so the connection cannot carry another request.
    response.header(HttpHeaders.Connection, "close")
    return Err(ServingError.InvalidRequest(ResultCode.BODY_TOO_LARGE, "the body has more than $limitBytes bytes"))
}

/** Reads [body] as a JSON object; the error names the position of the fault. */
internal fun parseJsonObject(body: ByteArray): Result<JsonObject, ServingError> {
    val element = try {
        Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true))
    } catch (fault: SerializationException) {
        return Err(ServingError.InvalidRequest(ResultCode.MALFORMED_BODY, fault.describe(body)))
    } catch (_: CharacterCodingException) {
        return Err(ServingError.InvalidRequest(ResultCode.MALFORMED_BODY, "malformed JSON: the body is not UTF-8"))
    }
    return if (element is JsonObject) {
        Ok(element)
    } else {
        Err(ServingError.InvalidRequest(ResultCode.MALFORMED_BODY, "malformed JSON at position 0: expected an object"))
    }
}

private val OFFSET = Regex("""at offset (\d+)""")

/** The library names an offset in most messages; a fault without one is an end of input that came too early. */
private fun SerializationException.describe(body: ByteArray): String {
    val text = message.orEmpty().lineSequence().first()
    val position = OFFSET.find(text)?.groupValues?.get(1) ?: body.size.toString()
    return "malformed JSON at position $position: " + text.substringAfter(": ", text)
}
