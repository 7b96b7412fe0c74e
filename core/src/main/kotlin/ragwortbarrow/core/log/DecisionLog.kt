package ragwortbarrow.core.log

/** Receives one event per routing or placement decision; adapters write it as one line of key=value pairs. */
fun interface DecisionLog {
    fun record(event: String, fields: List<Pair<String, Any?>>)

    companion object {
        /** Discards all events. */
        val NONE: DecisionLog = DecisionLog { _, _ -> }
    }
}

/** Records an event with the given [fields]. */
fun DecisionLog.record(event: String, vararg fields: Pair<String, Any?>): Unit = record(event, fields.asList())
