package ragwortbarrow.core.serverlimit

import ragwortbarrow.core.time.NANOS_PER_MILLI

/**
 * A node's share of the limit of one backend server: one request per [intervalMillis]. What is not used is saved up for
 * [maxSavedMillis], since online load jumps for some seconds. A share that begins at `startNanos` has nothing
 * saved up.
 */
internal class LimitShare(
    intervalMillis: Double,
    startNanos: Long,
    private val maxSavedMillis: Double = BURST_MILLIS,
) {
    var intervalMillis = intervalMillis
        private set

    /** When all requests that were sent would have been due at a steady rate. */
    private var usedUntilMillis = millis(startNanos) + intervalMillis + savedMillis

    private val savedMillis: Double get() = (maxSavedMillis - intervalMillis).coerceAtLeast(0.0)

    /** The time until the next request may be sent; with [isSpare], one that would be lost if it were not sent. */
    fun waitMillis(nowNanos: Long, isSpare: Boolean): Double {
        val reservedMillis = if (isSpare) maxOf(savedMillis, intervalMillis * MIN_RESERVE) else 0.0
        return (usedUntilMillis - savedMillis + reservedMillis - millis(nowNanos)).coerceAtLeast(0.0)
    }

    /** Changes the rate; what was saved up at a higher rate is lost. */
    fun changeInterval(millis: Double, nowNanos: Long) {
        val isSlower = millis > intervalMillis
        intervalMillis = millis
        if (isSlower) usedUntilMillis = maxOf(usedUntilMillis, millis(nowNanos) + savedMillis)
    }

    fun recordSend(nowNanos: Long) {
        usedUntilMillis = maxOf(usedUntilMillis, millis(nowNanos)) + intervalMillis
    }

    private fun millis(nanos: Long): Double = nanos.toDouble() / NANOS_PER_MILLI

    private companion object {
        /** Half of the time over which servers are expected to measure. */
        const val BURST_MILLIS = 2_000.0

        /** As a fraction of the interval: with nothing saved up, a request counts as spare after this time. */
        const val MIN_RESERVE = 0.5
    }
}
