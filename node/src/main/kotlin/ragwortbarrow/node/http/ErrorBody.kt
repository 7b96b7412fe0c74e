package ragwortbarrow.node.http

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import ragwortbarrow.core.error.ServingError

/** The body of every refusal and failure. */
internal fun ServingError.toBody(): String = buildJsonObject {
    putJsonObject("error") {
        put("code", code.number)
        put("type", code.type)
        put("message", message)
        put("execution", execution.wireName)
    }
}.toString()

/** Answers with this error; `Retry-After` is in whole seconds, rounded up. */
internal suspend fun ApplicationCall.respondError(error: ServingError) {
    error.retryAfterMillis?.let { response.header(HttpHeaders.RetryAfter, retryAfterSeconds(it).toString()) }
    respondText(error.toBody(), ContentType.Application.Json, HttpStatusCode.fromValue(error.code.httpStatus))
}

private fun retryAfterSeconds(millis: Long): Long = maxOf(1, (millis + 999) / 1_000)
