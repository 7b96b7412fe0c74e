package ragwortbarrow.core.quarantine

/** When each part of a prompt was last answered, for the [maxParts] parts that were answered most recently. */
internal class AnsweredParts(private val maxParts: Int) {
    private val millisByPart = object : LinkedHashMap<String, Long>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>) = size > maxParts
    }

    fun record(part: String, atMillis: Long) {
        millisByPart.merge(part, atMillis, ::maxOf)
    }

    operator fun get(part: String): Long? = millisByPart[part]
}
