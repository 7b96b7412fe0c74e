package ragwortbarrow.http

import io.netty.handler.codec.http.HttpHeaders

/** One request with its whole body. [path] holds the path and the query as they stand in the request line. */
class HttpRequestMessage(val method: String, val path: String, val headers: HttpHeaders, val body: ByteArray) {
    /** The path without the query. */
    val pathOnly: String get() = path.substringBefore('?')

    /** The first value of a query parameter, or null. */
    fun query(name: String): String? = path.substringAfter('?', "")
        .split('&')
        .firstOrNull { it.substringBefore('=') == name }
        ?.substringAfter('=', "")
}
