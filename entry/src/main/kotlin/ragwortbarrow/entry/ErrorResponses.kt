package ragwortbarrow.entry

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.http.HttpReply
import java.math.BigDecimal

/** Sends an error response with the error's number, whether the request ran, and when to retry. */
fun HttpReply.sendError(error: ServingError) {
    val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
    error.retryAfterMillis?.let { headers.set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds(it)) }
    val body = buildJsonObject {
        putJsonObject("error") {
            put("code", error.code.number)
            put("type", error.code.type)
            put("message", error.message)
            put("execution", error.execution.wireName)
        }
    }
    whole(error.code.httpStatus, headers, body.toString().encodeToByteArray())
}

/** `Retry-After` in fractional seconds, since most waits for a slot are shorter than a second. */
internal fun retryAfterSeconds(millis: Long): String =
    BigDecimal.valueOf(millis, MILLI_DIGITS).stripTrailingZeros().toPlainString()

private const val MILLI_DIGITS = 3
