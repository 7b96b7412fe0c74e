package ragwortbarrow.core.placement

/**
 * How long online requests of a service hold their slot, and how soon the first byte of an answer comes from a server
 * with a free slot; both as moving averages over this node's own requests.
 */
class LatencyEstimates {
    private val holds = HashMap<String, Double>()
    private val firstBytes = HashMap<String, Double>()

    fun holdMillis(service: String): Double = holds[service] ?: UNKNOWN_HOLD_MILLIS

    fun firstByteMillis(service: String): Double = firstBytes[service] ?: 0.0

    fun recordDuration(service: String, millis: Double) = average(holds, service, millis)

    /** Records the first byte of a request that did not have to queue. */
    fun recordFirstByte(service: String, millis: Double) = average(firstBytes, service, millis)

    private fun average(values: HashMap<String, Double>, service: String, millis: Double) {
        values.merge(service, millis) { before, now -> before + (now - before) * WEIGHT }
    }

    private companion object {
        /** Weight of the newest value; the average follows a change within some twenty requests. */
        const val WEIGHT = 0.1

        /** Assumed until a first request has ended; short, so that a new node does not turn requests away. */
        const val UNKNOWN_HOLD_MILLIS = 200.0
    }
}
