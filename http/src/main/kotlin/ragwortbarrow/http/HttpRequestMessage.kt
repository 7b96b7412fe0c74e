package ragwortbarrow.http

import io.netty.handler.codec.http.HttpHeaders

/** A request with its complete body. [path] is the request target: the path and query as in the request line. */
class HttpRequestMessage(val method: String, val path: String, val headers: HttpHeaders, val body: ByteArray) {
    /** [path] without the query. */
    val pathOnly: String get() = path.substringBefore('?')

    /** The first value of the query parameter [name] without decoding, or null. */
    fun query(name: String): String? = path.substringAfter('?', "")
        .split('&')
        .firstOrNull { it.substringBefore('=') == name }
        ?.substringAfter('=', "")
}
