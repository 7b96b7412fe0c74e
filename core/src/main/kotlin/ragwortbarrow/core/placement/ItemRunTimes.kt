package ragwortbarrow.core.placement

/**
 * Moving averages over the runs of batch items at this node: the time to the first event, the time per event, the
 * number of events, and how much longer an item takes than its runs, because it waits between them.
 *
 * Runs that were interrupted count too. Under load nearly all items are interrupted, and the few full runs are those at
 * fast servers.
 */
class ItemRunTimes {
    private var averageStartupMillis = 0.0
    private var averageMillisPerEvent: Double? = null
    private var averageEvents: Double? = null

    /** Time from an item's first start to its end, as a multiple of the time of a full run. */
    private var stretch = 1.0

    /** The expected time of a run of all events, if it is not interrupted. */
    val fullRunMillis: Double
        get() {
            val perEvent = averageMillisPerEvent ?: return DEFAULT_RUN_MILLIS
            val events = averageEvents ?: return DEFAULT_RUN_MILLIS
            return averageStartupMillis + perEvent * events
        }

    /** Records a run, complete or not: its response began after [startupMillis] and sent [events] in [streamMillis]. */
    fun recordRun(startupMillis: Double, streamMillis: Double, events: Long) {
        averageStartupMillis += (startupMillis - averageStartupMillis) * SAMPLE_WEIGHT
        if (events < MIN_SAMPLE_EVENTS) return
        averageMillisPerEvent = average(averageMillisPerEvent, streamMillis / events)
    }

    /** Records an item with [events] that is complete [elapsedMillis] after its first run began. */
    fun recordCompletion(elapsedMillis: Double, events: Long) {
        averageEvents = average(averageEvents, events.toDouble())
        val sample = (elapsedMillis / fullRunMillis).coerceIn(1.0, MAX_STRETCH)
        stretch = average(stretch, sample)
    }

    /**
     * The expected time until the end of an item whose last event is [lastEvent], with the interruptions that items
     * have at this load. An item with more events than average counts as almost done.
     */
    fun remainingMillis(lastEvent: Long): Double {
        val events = averageEvents ?: return fullRunMillis
        return fullRunMillis * (1 - lastEvent / events).coerceAtLeast(MIN_REMAINING_SHARE) * stretch
    }

    private fun average(before: Double?, sample: Double) = before?.let { it + (sample - it) * SAMPLE_WEIGHT } ?: sample

    private companion object {
        /** Used until the first item is complete. */
        const val DEFAULT_RUN_MILLIS = 5_000.0

        /** Weight of the newest sample. */
        const val SAMPLE_WEIGHT = 0.2

        /** The time per event of a run with fewer events is mostly chance. */
        const val MIN_SAMPLE_EVENTS = 5L

        /** Items with a longer wait than this are exceptions, such as those that servers crash on. */
        const val MAX_STRETCH = 3.0

        /** Lower bound of the remaining share of a run, because the lengths of items vary. */
        const val MIN_REMAINING_SHARE = 0.05
    }
}
