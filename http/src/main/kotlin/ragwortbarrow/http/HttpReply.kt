package ragwortbarrow.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * Sends the response to one request: either complete with [whole], or in chunks with [start], then [bytes] for each
 * chunk, then [end].
 */
interface HttpReply {
    val isStarted: Boolean
    val isFinished: Boolean

    fun whole(status: Int, headers: HttpHeaders, body: ByteArray)

    fun start(status: Int, headers: HttpHeaders)

    fun bytes(bytes: ByteArray)

    /** Waits until the caller has taken most of what was sent, so that a slow caller does not fill the memory. */
    suspend fun awaitWritable()

    fun end()

    /**
     * Accounts for [bytes] of memory that the request takes beside its body until it ends. Returns false if there is no
     * room for them; the request has to be refused then.
     */
    fun tryHold(bytes: Long): Boolean

    /** Closes the connection, so that the caller cannot mistake a partial response for a complete one. */
    fun abort()
}
