package ragwortbarrow.entry

import ragwortbarrow.http.HttpFailure
import java.io.ByteArrayOutputStream

/**
 * A server-sent event: its bytes as received, its id, and its data lines joined by line feeds. Comments have no id and
 * not [hasData].
 */
class StreamEvent(val bytes: ByteArray, val id: Long?, val data: String, val hasData: Boolean)

/**
 * Splits a stream of bytes into server-sent events and buffers the bytes of an incomplete event, which may have up to
 * [maxEventBytes].
 */
class EventSplitter(private val maxEventBytes: Int = MAX_EVENT_BYTES) {
    private var pending = ByteArrayOutputStream()
    private var atLineStart = true

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean get() = pending.size() > 0

    /** Appends [bytes] and returns the events that they complete. Throws [HttpFailure.Broken] if one is too long. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>(1)
        var sizeBytes = pending.size()
        for (byte in bytes) {
            if (sizeBytes >= maxEventBytes) throw HttpFailure.Broken("an event exceeds $maxEventBytes bytes")
            pending.write(byte.toInt())
            sizeBytes++
            when (byte) {
                LINE_FEED -> {
                    if (atLineStart && sizeBytes > 1) {
                        events += takeEvent()
                        sizeBytes = 0
                    }
                    atLineStart = true
                }
                CARRIAGE_RETURN -> Unit
                else -> atLineStart = false
            }
        }
        return events
    }

    private fun takeEvent(): StreamEvent {
        val bytes = pending.toByteArray()
        pending = ByteArrayOutputStream()
        var id: Long? = null
        var data: StringBuilder? = null
        for (line in bytes.decodeToString().lineSequence().map { it.removeSuffix("\r") }) {
            val value = line.substringAfter(':', "").removePrefix(" ")
            when (line.substringBefore(':')) {
                "id" -> id = value.toLongOrNull()
                "data" -> data = data?.append('\n')?.append(value) ?: StringBuilder(value)
            }
        }
        return StreamEvent(bytes, id, data?.toString().orEmpty(), hasData = data != null)
    }

    private companion object {
        /** An event holds a few tokens of text. */
        const val MAX_EVENT_BYTES = 256 * 1024
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
