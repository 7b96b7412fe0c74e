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

/** Reads the whole body, or rejects it if it is larger than [limitBytes]. */
internal suspend fun ApplicationCall.readBody(limitBytes: Long): Result<ByteArray, ServingError> {
    val declaredBytes = request.contentLength() ?: 0
    val body = if (declaredBytes > limitBytes) null else receiveChannel().readRemaining(limitBytes + 1).readByteArray()
    if (body != null && body.size <= limitBytes) return Ok(body)
    // The rest of the body stays unread, so the connection cannot be reused for another request.
    response.header(HttpHeaders.Connection, "close")
    return Err(ServingError.InvalidRequest(ResultCode.BODY_TOO_LARGE, "the body has more than $limitBytes bytes"))
}

/** Parses [body] as a JSON object; the error message contains the position of a syntax error. */
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

/** Most messages of the library contain an offset; those without one are caused by an unexpected end of input. */
private fun SerializationException.describe(body: ByteArray): String {
    val text = message.orEmpty().lineSequence().first()
    val position = OFFSET.find(text)?.groupValues?.get(1) ?: body.size.toString()
    return "malformed JSON at position $position: " + text.substringAfter(": ", text)
}
