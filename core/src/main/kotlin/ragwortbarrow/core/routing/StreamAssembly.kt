package ragwortbarrow.core.routing

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.StreamEvent

/** What one event of an attempt means for the caller. */
internal sealed interface StreamStep {
    data class Deliver(val chunk: StreamEvent.Chunk) : StreamStep

    /** The caller has this chunk already. */
    data object Skip : StreamStep

    data class End(val end: StreamEnd) : StreamStep
}

/** How an attempt of a stream ended. */
internal sealed interface StreamEnd {
    data object Done : StreamEnd

    data class Answered(val response: BackendResponse) : StreamEnd

    data class Broken(val outcome: AttemptOutcome) : StreamEnd

    /** The attempt generated something else than what the caller has. */
    data class Diverged(val reason: String) : StreamEnd
}

/**
 * What the caller of a stream has received so far, against which the events of every attempt are checked. An attempt is
 * checked from its first chunk on, so that a restarted stream never continues a text that it did not generate.
 */
internal class StreamAssembly {
    private val delivered = ArrayList<String>()

    /** The offset of the next chunk of the present attempt; a resume continues here. */
    var attemptOffset: Long = 0
        private set

    val hasDelivered: Boolean get() = delivered.isNotEmpty()

    /** A new attempt starts from the first chunk. */
    fun restart() {
        attemptOffset = 0
    }

    fun accept(event: StreamEvent): StreamStep = when (event) {
        is StreamEvent.Chunk -> acceptChunk(event)
        is StreamEvent.Completed -> StreamStep.End(endAt(event.endOffset))
        is StreamEvent.Answered -> StreamStep.End(answered(event.response))
        is StreamEvent.Broken -> StreamStep.End(StreamEnd.Broken(event.outcome))
    }

    private fun acceptChunk(chunk: StreamEvent.Chunk): StreamStep {
        val had = delivered.getOrNull(chunk.offset.toInt())
        return when {
            chunk.offset > attemptOffset -> StreamStep.End(
                mismatch("chunk ${chunk.offset} came instead of $attemptOffset"),
            )

            had != null && !sameContent(had, chunk.data) ->
                StreamStep.End(StreamEnd.Diverged("chunk ${chunk.offset} differs from the one that was delivered"))

            else -> {
                if (chunk.offset == attemptOffset) attemptOffset++
                if (had == null) delivered += chunk.data
                if (had == null) StreamStep.Deliver(chunk) else StreamStep.Skip
            }
        }
    }

    private fun endAt(endOffset: Long): StreamEnd = when {
        endOffset != attemptOffset -> mismatch("the stream ended at $endOffset, but chunk $attemptOffset came last")
        endOffset < delivered.size -> StreamEnd.Diverged("the stream ended at $endOffset of ${delivered.size} chunks")
        else -> StreamEnd.Done
    }

    private fun answered(answer: BackendResponse): StreamEnd = if (delivered.isEmpty()) {
        StreamEnd.Answered(answer)
    } else {
        StreamEnd.Broken(AttemptOutcome.Unknown("status ${answer.status} instead of the rest of the stream"))
    }

    private fun mismatch(reason: String) = StreamEnd.Broken(AttemptOutcome.Mismatch(reason))

    /** Ids and creation times differ between servers, so chunks of the OpenAI form are compared by their choices. */
    private fun sameContent(first: String, second: String): Boolean {
        if (first == second) return true
        val choices = choicesOf(first) ?: return false
        return choices == choicesOf(second)
    }

    private fun choicesOf(data: String): JsonElement? = try {
        (Json.parseToJsonElement(data) as? JsonObject)?.get("choices")
    } catch (_: SerializationException) {
        null
    }
}
