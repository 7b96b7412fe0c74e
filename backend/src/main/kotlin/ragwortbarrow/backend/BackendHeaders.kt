package ragwortbarrow.backend

import ragwortbarrow.core.backend.HttpHeader

/** The headers of the backend protocol, and the rules for forwarding headers between callers and backend servers. */
internal object BackendHeaders {
    const val REQUEST_ID = "X-Request-Id"
    const val EXECUTION = "X-Execution"
    const val NOT_RUN = "not-run"

    private val connectionHeaders = setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )

    // authorization: backend servers must not receive the key of a caller. accept-encoding: the offsets of a compressed
    // stream could not be checked. content-type: is set together with the body.
    private val notForwarded = connectionHeaders + setOf(
        "authorization",
        "proxy-authorization",
        "host",
        "expect",
        "accept-encoding",
        "content-type",
        "x-request-id",
    )

    fun forwardable(headers: List<HttpHeader>): List<HttpHeader> =
        headers.filter { it.name.lowercase() !in notForwarded }

    fun isReturned(name: String): Boolean = name.lowercase() !in connectionHeaders
}
