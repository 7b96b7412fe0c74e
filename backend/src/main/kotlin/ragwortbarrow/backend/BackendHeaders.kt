package ragwortbarrow.backend

import ragwortbarrow.core.backend.HttpHeader

/** The headers of the backend protocol, and which headers pass between callers and backend servers. */
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

    // Authorization: no backend server sees a caller's key. Accept-Encoding: a compressed stream could not be checked
    // by offset. Content-Type travels with the body.
    private val notForwarded = connectionHeaders + setOf(
        "authorization",
        "proxy-authorization",
        "host",
        "expect",
        "accept-encoding",
        "content-type",
        "x-request-id",
    )

    fun forwarded(headers: List<HttpHeader>): List<HttpHeader> = headers.filter { it.name.lowercase() !in notForwarded }

    fun returned(name: String): Boolean = name.lowercase() !in connectionHeaders
}
