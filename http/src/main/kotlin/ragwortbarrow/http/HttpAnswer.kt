package ragwortbarrow.http

import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel

/**
 * The answer to one request as it arrives. [belongs] decides whether an answer on the connection is the one to this
 * request; others are skipped whole.
 */
class HttpAnswer internal constructor(
    private val progressed: () -> Unit,
    internal val belongs: (HttpResponse) -> Boolean,
) {
    private val head = CompletableDeferred<HttpResponse>()
    private val chunks = Channel<ByteArray>(Channel.UNLIMITED)

    /** Status and headers; throws [HttpFailure.Broken] if they never come. */
    suspend fun head(): HttpResponse = head.await()

    /** The next bytes of the body, or null at its proper end; throws [HttpFailure.Broken] if it breaks off. */
    suspend fun next(): ByteArray? = chunks.receiveCatching().let { received ->
        received.getOrNull() ?: received.exceptionOrNull()?.let { throw it }
    }

    /** The whole rest of the body; throws [HttpFailure.Broken] if it breaks off or has more than [limitBytes]. */
    suspend fun rest(limitBytes: Int): ByteArray {
        val parts = ArrayList<ByteArray>()
        var sizeBytes = 0
        while (true) {
            val part = next() ?: break
            sizeBytes += part.size
            if (sizeBytes > limitBytes) throw HttpFailure.Broken("the answer has more than $limitBytes bytes")
            parts += part
        }
        if (parts.size == 1) return parts[0]
        val whole = ByteArray(sizeBytes)
        var offset = 0
        for (part in parts) {
            part.copyInto(whole, offset)
            offset += part.size
        }
        return whole
    }

    internal fun onHead(response: HttpResponse) {
        progressed()
        head.complete(response)
    }

    internal fun onBytes(bytes: ByteArray) {
        progressed()
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
