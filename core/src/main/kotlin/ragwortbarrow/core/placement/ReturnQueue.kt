package ragwortbarrow.core.placement

import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import kotlin.random.Random

/**
 * Tells callers that are rejected because the backend servers of a service take no more requests now when to come back.
 *
 * A jump in load rejects many callers within a permit's time. Each of them gets the time of a later permit, as if they
 * queued for them, so that they don't come back together for the next one. Nothing is reserved: a place in the queue
 * ends as its time passes, and whoever comes first takes the permit.
 */
internal class ReturnQueue(private val timer: TimerService, private val random: Random) {
    /** The time of the last place that was given away, by service. */
    private val lastPlaceMillis = HashMap<String, Double>()

    /**
     * The time after which a caller is to come back to [service], at most [maxWaitMillis], if the next permit is due
     * after [permitWaitMillis] and then one in [intervalMillis]. A caller for whom no place is left in that time has
     * its best chance late in it, when the load may have fallen.
     */
    fun enter(service: String, permitWaitMillis: Double, intervalMillis: Double, maxWaitMillis: Double): Double {
        val nowMillis = timer.nanoTime().toDouble() / NANOS_PER_MILLI
        val limitMillis = minOf(maxWaitMillis, MAX_WAIT_MILLIS)
        val nextMillis = lastPlaceMillis[service]?.let { it + intervalMillis } ?: nowMillis
        val placeMillis = maxOf(nowMillis + permitWaitMillis, nextMillis)
        if (placeMillis > nowMillis + limitMillis) return limitMillis * random.nextDouble(LATE_SHARE, 1.0)
        lastPlaceMillis[service] = placeMillis
        return placeMillis - nowMillis
    }

    private companion object {
        /** Longest time that a caller is told, a few times that of a jump in load. */
        const val MAX_WAIT_MILLIS = 10_000.0

        /** As a fraction of the longest wait: callers without a place come back from this time on. */
        const val LATE_SHARE = 0.5
    }
}
