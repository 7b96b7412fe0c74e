package ragwortbarrow.node.http

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.HttpHeader

/** Hop-by-hop headers, and headers that carry the caller's credentials or refer to this node. */
private val NOT_FORWARDED = setOf(
    "authorization", "proxy-authorization", "connection", "keep-alive", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade", "host", "content-length", "expect", "x-request-id",
)

private val NOT_RETURNED = setOf(
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
    "content-length", "content-type", "x-request-id", "date",
)

/** Returns the request headers to forward to a backend server. */
internal fun ApplicationCall.forwardedHeaders(): List<HttpHeader> {
    // Headers listed in Connection apply to this connection only.
    val perConnection = request.headers.getAll(HttpHeaders.Connection).orEmpty()
        .flatMap { it.split(',') }.map { it.trim().lowercase() }
    return request.headers.entries()
        .filter { (name, _) -> name.lowercase().let { it !in NOT_FORWARDED && it !in perConnection } }
        .flatMap { (name, values) -> values.map { HttpHeader(name, it) } }
}

/** Sends the complete response of a backend server to the caller. */
internal suspend fun ApplicationCall.respondBackendResponse(backendResponse: BackendResponse) {
    backendResponse.headers.filter { it.name.lowercase() !in NOT_RETURNED }
        .forEach { response.headers.append(it.name, it.value, safeOnly = false) }
    respond(BufferedResponse(backendResponse))
}

private class BufferedResponse(private val backendResponse: BackendResponse) : OutgoingContent.ByteArrayContent() {
    override val status = HttpStatusCode.fromValue(backendResponse.status)
    override val contentLength: Long = backendResponse.body.size.toLong()
    override val contentType = backendResponse.headers
        .firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
        ?.let { header -> runCatching { io.ktor.http.ContentType.parse(header.value) }.getOrNull() }

    override fun bytes(): ByteArray = backendResponse.body
}

/** Returns the key of an `Authorization: Bearer KEY` header, or null. */
internal fun ApplicationCall.bearerKey(): String? {
    val header = request.headers[HttpHeaders.Authorization] ?: return null
    if (!header.startsWith("Bearer ", ignoreCase = true)) return null
    return header.substring("Bearer ".length).trim().ifEmpty { null }
}
