package ragwortbarrow.backend

/** One server-sent event; [id] is the offset of the next event. */
internal data class ServerSentEvent(val id: Long?, val data: String)

/** Parses server-sent events line by line; an event without its terminating blank line is dropped. */
internal class EventStreamParser {
    private var id: Long? = null
    private val data = mutableListOf<String>()

    /** Processes [line] and returns the event it completes, or null if it completes none. */
    fun accept(line: String): ServerSentEvent? {
        if (line.isEmpty()) return completeEvent()
        val field = line.substringBefore(':')
        val value = line.substringAfter(':', "").removePrefix(" ")
        when (field) {
            "id" -> id = value.toLongOrNull()
            "data" -> data += value
        }
        return null
    }

    private fun completeEvent(): ServerSentEvent? {
        val event = if (data.isEmpty()) null else ServerSentEvent(id, data.joinToString("\n"))
        id = null
        data.clear()
        return event
    }
}
