package ragwortbarrow.http

import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel

/**
 * The response to one request, readable while it arrives. Responses on the connection for which [isExpected] is false
 * belong to other requests and are discarded.
 */
class HttpAnswer internal constructor(
    private val onProgress: () -> Unit,
    internal val isExpected: (HttpResponse) -> Boolean,
) {
    private val head = CompletableDeferred<HttpResponse>()
    private val chunks = Channel<ByteArray>(Channel.UNLIMITED)

    /** Waits for the status and headers. Throws [HttpFailure.Broken] if the connection fails before they arrive. */
    suspend fun head(): HttpResponse = head.await()

    /** Returns the next bytes of the body, or null at its end. Throws [HttpFailure.Broken] if it is truncated. */
    suspend fun next(): ByteArray? = chunks.receiveCatching().let { received ->
        received.getOrNull() ?: received.exceptionOrNull()?.let { throw it }
    }

    /** Reads the rest of the body. Throws [HttpFailure.Broken] if it is truncated or exceeds [limitBytes]. */
    suspend fun rest(limitBytes: Int): ByteArray {
        val parts = ArrayList<ByteArray>()
        var sizeBytes = 0
        while (true) {
            val part = next() ?: break
            sizeBytes += part.size
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
        onProgress()
        chunks.trySend(bytes)
    }

    internal fun onEnd() {
        chunks.close()
    }

    internal fun onBroken(failure: HttpFailure.Broken) {
        head.completeExceptionally(failure)
        chunks.close(failure)
    }
}
