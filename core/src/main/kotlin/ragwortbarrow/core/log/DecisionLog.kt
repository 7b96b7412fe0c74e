package ragwortbarrow.core.log

/** Receives one event for each routing or placement decision; adapters write it as one line of key=value pairs. */
fun interface DecisionLog {
    fun record(event: String, fields: List<Pair<String, Any?>>)

    companion object {
        /** Drops every event. */
        val NONE: DecisionLog = DecisionLog { _, _ -> }
    }
}

/** Records an event with [fields] given in place. */
fun DecisionLog.record(event: String, vararg fields: Pair<String, Any?>): Unit = record(event, fields.asList())
