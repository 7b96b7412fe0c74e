package ragwortbarrow.backend

import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.StreamEvent

/** Checks the offsets of one stream; events that came before are dropped, and a gap ends the attempt. */
internal class StreamCheck(private var nextOffset: Long) {
    /** What [event] means, or null if it is a duplicate. */
    fun accept(event: ServerSentEvent): StreamEvent? {
        val id = event.id ?: return broken("an event has no offset")
        if (event.data == DONE) return if (id == nextOffset) StreamEvent.Completed(id) else gap(id)
        val offset = id - 1
        return when {
            offset < nextOffset -> null
            offset > nextOffset -> gap(id)
            else -> StreamEvent.Chunk(offset, event.data).also { nextOffset++ }
        }
    }

    private fun gap(id: Long) = broken("the event with id $id came after offset $nextOffset")

    private fun broken(reason: String) = StreamEvent.Broken(AttemptOutcome.Mismatch(reason))

    private companion object {
        const val DONE = "[DONE]"
    }
}
