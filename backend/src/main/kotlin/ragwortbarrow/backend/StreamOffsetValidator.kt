package ragwortbarrow.backend

import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.StreamEvent

/** Validates the offsets of one stream: duplicate events are dropped, and a gap fails the attempt. */
internal class StreamOffsetValidator(private var nextOffset: Long) {
    /** Maps [event] to a stream event, or to null if it is a duplicate. */
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

    private fun gap(id: Long) = broken("expected the event with offset $nextOffset, but received the event with id $id")

    private fun broken(reason: String) = StreamEvent.Broken(AttemptOutcome.Mismatch(reason))

    private companion object {
        const val DONE = "[DONE]"
    }
}
