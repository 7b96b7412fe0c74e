package ragwortbarrow.node.http

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.HttpHeader

/** Headers of one connection, and those that name the caller's credentials or this node instead of the request. */
private val NOT_FORWARDED = setOf(
    "authorization", "proxy-authorization", "connection", "keep-alive", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade", "host", "content-length", "expect", "x-request-id",
)

private val NOT_ANSWERED = setOf(
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
    "content-length", "content-type", "x-request-id", "date",
)

/** The headers of the request that a backend server may see. */
internal fun ApplicationCall.forwardedHeaders(): List<HttpHeader> {
    // A header named by Connection belongs to this connection only.
    val perConnection = request.headers.getAll(HttpHeaders.Connection).orEmpty()
        .flatMap { it.split(',') }.map { it.trim().lowercase() }
    return request.headers.entries()
        .filter { (name, _) -> name.lowercase().let { it !in NOT_FORWARDED && it !in perConnection } }
        .flatMap { (name, values) -> values.map { HttpHeader(name, it) } }
}

/** Gives a complete answer of a backend server to the caller. */
internal suspend fun ApplicationCall.respondAnswer(answer: BackendResponse) {
    answer.headers.filter { it.name.lowercase() !in NOT_ANSWERED }
        .forEach { response.headers.append(it.name, it.value, safeOnly = false) }
    respond(WholeAnswer(answer))
}

private class WholeAnswer(private val answer: BackendResponse) : OutgoingContent.ByteArrayContent() {
    override val status = HttpStatusCode.fromValue(answer.status)
    override val contentLength: Long = answer.body.size.toLong()
    override val contentType = answer.headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
        ?.let { header -> runCatching { io.ktor.http.ContentType.parse(header.value) }.getOrNull() }

    override fun bytes(): ByteArray = answer.body
}

/** The key of `Authorization: Bearer KEY`, or null. */
internal fun ApplicationCall.bearerKey(): String? {
    val header = request.headers[HttpHeaders.Authorization] ?: return null
    if (!header.startsWith("Bearer ", ignoreCase = true)) return null
    return header.substring("Bearer ".length).trim().ifEmpty { null }
}
