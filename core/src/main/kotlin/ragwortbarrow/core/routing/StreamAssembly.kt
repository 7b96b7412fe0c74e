package ragwortbarrow.core.routing

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.StreamEvent

/** How to handle one event of an attempt. */
internal sealed interface StreamStep {
    data class Deliver(val chunk: StreamEvent.Chunk) : StreamStep

    /** The caller already received this chunk. */
    data object Skip : StreamStep

    data class End(val end: StreamEnd) : StreamStep
}

/** How an attempt of a stream ended. */
internal sealed interface StreamEnd {
    data object Done : StreamEnd

    data class Answered(val response: BackendResponse) : StreamEnd

    data class Broken(val outcome: AttemptOutcome) : StreamEnd

    /** The attempt generated other content than the caller already received. */
    data class Diverged(val reason: String) : StreamEnd
}

/**
 * Holds the chunks that the caller of a stream has received and checks the events of each attempt against them. Each
 * attempt is checked from its first chunk, so that a restarted stream never continues text that it did not generate.
 */
internal class StreamAssembly {
    private val delivered = ArrayList<String>()

    /** Offset of the next chunk of the current attempt; a resume continues here. */
    var attemptOffset: Long = 0
        private set

    val hasDelivered: Boolean get() = delivered.isNotEmpty()

    /** Starts a new attempt at the first chunk. */
    fun restart() {
        attemptOffset = 0
    }

    fun accept(event: StreamEvent): StreamStep = when (event) {
        is StreamEvent.Chunk -> acceptChunk(event)
        is StreamEvent.Completed -> StreamStep.End(endOf(event.endOffset))
        is StreamEvent.Answered -> StreamStep.End(endWithResponse(event.response))
        is StreamEvent.Broken -> StreamStep.End(StreamEnd.Broken(event.outcome))
    }

    private fun acceptChunk(chunk: StreamEvent.Chunk): StreamStep {
        val previous = delivered.getOrNull(chunk.offset.toInt())
        return when {
            chunk.offset > attemptOffset -> StreamStep.End(
                mismatch("received chunk ${chunk.offset} instead of $attemptOffset"),
            )

            previous != null && !sameContent(previous, chunk.data) ->
                StreamStep.End(StreamEnd.Diverged("chunk ${chunk.offset} differs from the delivered one"))

            else -> {
                if (chunk.offset == attemptOffset) attemptOffset++
                if (previous == null) delivered += chunk.data
                if (previous == null) StreamStep.Deliver(chunk) else StreamStep.Skip
            }
        }
    }

    private fun endOf(endOffset: Long): StreamEnd = when {
        endOffset != attemptOffset -> mismatch("the stream ended at $endOffset instead of $attemptOffset")
        endOffset < delivered.size -> StreamEnd.Diverged("the stream ended at $endOffset of ${delivered.size} chunks")
        else -> StreamEnd.Done
    }

    private fun endWithResponse(response: BackendResponse): StreamEnd = if (delivered.isEmpty()) {
        StreamEnd.Answered(response)
    } else {
        StreamEnd.Broken(AttemptOutcome.Unknown("received status ${response.status} instead of the rest of the stream"))
    }

    private fun mismatch(reason: String) = StreamEnd.Broken(AttemptOutcome.Mismatch(reason))

    /** Compares chunks in the OpenAI format by their choices, because ids and creation times differ between servers. */
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
