package ragwortbarrow.http

import io.netty.handler.codec.http.HttpResponse

/** When bytes that belong to no request arrived on a client connection. */
enum class StrayBytesArrival {
    /** No request was pending. */
    WHILE_IDLE,

    /** Together with the end of a response. */
    AFTER_RESPONSE,

    /** A response to another request arrived before the expected one, and was discarded. */
    BEFORE_RESPONSE,

    /** A part of a response was followed by the expected one, so that both were read as one head. */
    WITHIN_HEAD,

    /** Another response followed one without a length, or one that was cut off, and was read as a part of its body. */
    WITHIN_BODY,
}

/** Bytes of a server that belong to no request, such as a second copy of a response or a part of one. */
data class StrayBytes(
    val address: String,
    val arrival: StrayBytesArrival,
    /** The head that was read from the bytes; null if none was read. */
    val response: HttpResponse? = null,
)
