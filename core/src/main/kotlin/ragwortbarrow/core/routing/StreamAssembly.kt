package ragwortbarrow.core.routing

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendAnswer
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

    data class Answered(val answer: BackendAnswer) : StreamEnd

    data class Broken(val outcome: AttemptOutcome) : StreamEnd

    /** The attempt generated something else than what the caller has. */
    data class Diverged(val reason: String) : StreamEnd
}

/** What the caller of a stream has received so far, against which the events of every attempt are checked. */
internal class StreamAssembly {
    private val delivered = ArrayList<String>()

    /** The offset of the next chunk that the caller needs. */
    val nextOffset: Long get() = delivered.size.toLong()

    fun accept(event: StreamEvent): StreamStep = when (event) {
        is StreamEvent.Chunk -> acceptChunk(event)
        is StreamEvent.Completed -> StreamStep.End(endAt(event.endOffset))
        is StreamEvent.Answered -> StreamStep.End(answered(event.answer))
        is StreamEvent.Broken -> StreamStep.End(StreamEnd.Broken(event.outcome))
    }

    private fun acceptChunk(chunk: StreamEvent.Chunk): StreamStep = when {
        chunk.offset == nextOffset -> {
            delivered += chunk.data
            StreamStep.Deliver(chunk)
        }

        chunk.offset > nextOffset -> StreamStep.End(mismatch("chunk ${chunk.offset} came instead of $nextOffset"))

        sameContent(delivered[chunk.offset.toInt()], chunk.data) -> StreamStep.Skip

        else -> StreamStep.End(StreamEnd.Diverged("chunk ${chunk.offset} differs from the one that was delivered"))
    }

    private fun endAt(endOffset: Long): StreamEnd = when {
        endOffset == nextOffset -> StreamEnd.Done
        endOffset > nextOffset -> mismatch("the stream ended at $endOffset, but chunk $nextOffset is missing")
        else -> StreamEnd.Diverged("the stream ended at $endOffset, but $nextOffset chunks were delivered")
    }

    private fun answered(answer: BackendAnswer): StreamEnd = if (delivered.isEmpty()) {
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
