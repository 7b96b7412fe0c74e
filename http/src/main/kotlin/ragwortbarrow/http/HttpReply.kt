package ragwortbarrow.http

import io.netty.handler.codec.http.HttpHeaders

/** Where the answer to one request goes: either one [whole] answer, or [start], [bytes] as they come, and [end]. */
interface HttpReply {
    val isStarted: Boolean
    val isFinished: Boolean

    fun whole(status: Int, headers: HttpHeaders, body: ByteArray)

    fun start(status: Int, headers: HttpHeaders)

    fun bytes(bytes: ByteArray)

    fun end()

    /** Closes the connection, so that an answer that has begun does not look complete. */
    fun abort()
}
