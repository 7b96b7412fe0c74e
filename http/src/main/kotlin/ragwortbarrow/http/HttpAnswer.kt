package ragwortbarrow.http

import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.CompletableDeferred
import ragwortbarrow.core.time.ChangeSignal

/**
 * The response to one request, readable while it arrives. Responses on the connection for which [isExpected] is false
 * belong to other requests and are discarded. While many bytes wait for the reader, [setReading] stops the connection
 * from reading more, so that a server that sends faster than its response is read does not fill the memory. Confined to
 * the event loop of the connection.
 */
class HttpAnswer internal constructor(
    private val onProgress: () -> Unit,
    internal val isExpected: (HttpResponse) -> Boolean,
    private val memory: BodyMemory,
    private val closeConnection: () -> Unit,
    private val setReading: (Boolean) -> Unit,
) {
    private val head = CompletableDeferred<HttpResponse>()
    private val chunks = ArrayDeque<ByteArray>()
    private var isEnded = false
    private var failure: HttpFailure.Broken? = null
    private val change = ChangeSignal()
    private var waitingBytes = 0
    private var isReading = true

    internal val hasHead: Boolean get() = head.isCompleted

    /** Whether [next] returns bytes at once. */
    val hasBytes: Boolean get() = chunks.isNotEmpty()

    /** Waits for the status and headers. Throws [HttpFailure.Broken] if the connection fails before they arrive. */
    suspend fun head(): HttpResponse = head.await()

    /** Waits until [next] returns or throws at once. */
    suspend fun awaitNext() {
        while (chunks.isEmpty() && failure == null && !isEnded) change.await()
    }

    /** Returns the next bytes of the body, or null at its end. Throws [HttpFailure.Broken] if it is truncated. */
    suspend fun next(): ByteArray? {
        awaitNext()
        val bytes = chunks.removeFirstOrNull()
        if (bytes != null) adjustWaiting(-bytes.size) else failure?.let { throw it }
        return bytes
    }

    private fun adjustWaiting(bytes: Int) {
        waitingBytes += bytes
        val shouldRead = if (isReading) waitingBytes < MAX_WAITING_BYTES else waitingBytes <= RESUME_WAITING_BYTES
        if (shouldRead == isReading) return
        isReading = shouldRead
        setReading(shouldRead)
    }

    /**
     * Reads the rest of the body. Throws [HttpFailure.Broken] if it is truncated, if it exceeds [limitBytes], or if it
     * is the largest one when all bodies together take too much memory, also while it waits for the server.
     */
    suspend fun rest(limitBytes: Int): ByteArray {
        val reservation = memory.open(onFailure = ::discard)
        try {
            return rest(limitBytes, reservation)
        } finally {
            reservation.release()
        }
    }

    private suspend fun rest(limitBytes: Int, reservation: BodyMemory.Body): ByteArray {
        val parts = ArrayList<ByteArray>()
        var sizeBytes = 0
        while (true) {
            val part = next() ?: break
            sizeBytes += part.size
            reservation.grow(part.size)
            if (sizeBytes > limitBytes) throw HttpFailure.Broken("the response exceeds $limitBytes bytes")
            parts += part
        }
        if (parts.size == 1) return parts[0]
        val body = ByteArray(sizeBytes)
        var offset = 0
        for (part in parts) {
            part.copyInto(body, offset)
            offset += part.size
        }
        return body
    }

    internal fun onHead(response: HttpResponse) {
        onProgress()
        head.complete(response)
    }

    internal fun onBytes(bytes: ByteArray) {
        // Bytes that were received before the connection was closed are still decoded.
        if (failure != null) return
        onProgress()
        adjustWaiting(bytes.size)
        chunks += bytes
        change.raise()
    }

    internal fun onEnd() {
        isEnded = true
        change.raise()
    }

    /** Fails the response and closes its connection, so that its server stops. */
    private fun discard(failure: HttpFailure.Broken) {
        chunks.clear()
        onBroken(failure)
        closeConnection()
    }

    /** The first failure counts: a connection that is closed because of it is reported as broken too. */
    internal fun onBroken(failure: HttpFailure.Broken) {
        if (this.failure != null) return
        head.completeExceptionally(failure)
        this.failure = failure
        change.raise()
    }

    private companion object {
        /** Many times the largest event of a stream; a node has up to some hundred responses in progress. */
        const val MAX_WAITING_BYTES = 256 * 1024
        const val RESUME_WAITING_BYTES = 64 * 1024
    }
}
