package ragwortbarrow.core.placement

/** How long batch items run and how many events they have, as moving averages over whole runs of this node. */
class ItemRunTimes {
    private var averageEvents: Double? = null

    var fullRunMillis: Double = UNKNOWN_RUN_MILLIS
        private set

    /** An item ran from its first event to its last in [millis]. */
    fun recordRun(millis: Double, events: Long) {
        fullRunMillis += (millis - fullRunMillis) * WEIGHT
        averageEvents = averageEvents?.let { it + (events - it) * WEIGHT } ?: events.toDouble()
    }

    /** What an item needs that has reached event [reached]; an item with more events than usual is nearly done. */
    fun remainingMillis(reached: Long): Double {
        val events = averageEvents ?: return fullRunMillis
        return fullRunMillis * (1 - reached / events).coerceAtLeast(LEAST_LEFT)
    }

    private companion object {
        /** Assumed until an item has run whole. */
        const val UNKNOWN_RUN_MILLIS = 5_000.0

        /** Weight of the newest value. */
        const val WEIGHT = 0.2

        /** Share of a run that counts as left however far an item is, since lengths scatter. */
        const val LEAST_LEFT = 0.05
    }
}
