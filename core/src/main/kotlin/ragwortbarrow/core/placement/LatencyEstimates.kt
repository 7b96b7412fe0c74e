package ragwortbarrow.core.placement

/**
 * Moving averages over this node's own online requests, by service: how long a request occupies its slot, and the time
 * to first byte from a server with a free slot.
 */
class LatencyEstimates {
    private val durations = HashMap<String, Double>()
    private val firstBytes = HashMap<String, Double>()

    fun durationMillis(service: String): Double = durations[service] ?: DEFAULT_DURATION_MILLIS

    fun firstByteMillis(service: String): Double = firstBytes[service] ?: 0.0

    fun recordDuration(service: String, millis: Double) = updateAverage(durations, service, millis)

    /** Records the time to first byte of a request that did not have to queue. */
    fun recordFirstByte(service: String, millis: Double) = updateAverage(firstBytes, service, millis)

    private fun updateAverage(averages: HashMap<String, Double>, service: String, millis: Double) {
        averages.merge(service, millis) { before, now -> before + (now - before) * SAMPLE_WEIGHT }
    }

    private companion object {
        /** Weight of the newest sample; the average follows a change within about twenty requests. */
        const val SAMPLE_WEIGHT = 0.1

        /** Used until the first request has ended; short, so that a new node does not reject requests. */
        const val DEFAULT_DURATION_MILLIS = 200.0
    }
}
