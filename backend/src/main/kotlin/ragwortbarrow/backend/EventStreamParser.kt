package ragwortbarrow.backend

/** One server-sent event; [id] is the offset of the next event. */
internal data class ServerSentEvent(val id: Long?, val data: String)

/** Assembles server-sent events from lines; an event without its closing blank line is never delivered. */
internal class EventStreamParser {
    private var id: Long? = null
    private val data = mutableListOf<String>()

    /** The event that [line] completes, if it completes one. */
    fun accept(line: String): ServerSentEvent? {
        if (line.isEmpty()) return complete()
        val field = line.substringBefore(':')
        val value = line.substringAfter(':', "").removePrefix(" ")
        when (field) {
            "id" -> id = value.toLongOrNull()
            "data" -> data += value
        }
        return null
    }

    private fun complete(): ServerSentEvent? {
        val event = if (data.isEmpty()) null else ServerSentEvent(id, data.joinToString("\n"))
        id = null
        data.clear()
        return event
    }
}
