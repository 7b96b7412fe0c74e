package ragwortbarrow.core.placement

/** Moving averages of the run time and the number of events of batch items, over full runs at this node. */
class ItemRunTimes {
    private var averageEvents: Double? = null

    var fullRunMillis: Double = DEFAULT_RUN_MILLIS
        private set

    /** Records an item that ran from its first to its last event in [millis]. */
    fun recordRun(millis: Double, events: Long) {
        fullRunMillis += (millis - fullRunMillis) * SAMPLE_WEIGHT
        averageEvents = averageEvents?.let { it + (events - it) * SAMPLE_WEIGHT } ?: events.toDouble()
    }

    /**
     * The expected remaining run time of an item whose last event is [lastEvent]. An item with more events than average
     * counts as almost done.
     */
    fun remainingMillis(lastEvent: Long): Double {
        val events = averageEvents ?: return fullRunMillis
        return fullRunMillis * (1 - lastEvent / events).coerceAtLeast(MIN_REMAINING_SHARE)
    }

    private companion object {
        /** Used until the first item has completed a full run. */
        const val DEFAULT_RUN_MILLIS = 5_000.0

        /** Weight of the newest sample. */
        const val SAMPLE_WEIGHT = 0.2

        /** Lower bound of the remaining share of a run, because the lengths of items vary. */
        const val MIN_REMAINING_SHARE = 0.05
    }
}
