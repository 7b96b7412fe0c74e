package ragwortbarrow.core.lease

import ragwortbarrow.core.limits.LimitSettings
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.atomic.AtomicReference

/**
 * The expiry of a lease on the holder's monotonic clock. The term is counted from when the holder sent its request, so
 * that the round trip is included, and ends early by a safety margin. Reads take no lock.
 */
internal class LeaseExpiry(private val timer: TimerService, private val settings: LimitSettings) {
    private val endNanos = AtomicReference<Long?>(null)

    fun remainingMillis(): Long = endNanos.get()?.let { (it - timer.nanoTime()) / NANOS_PER_MILLI } ?: 0

    /** Moves the expiry to one term after [sentNanos], less the margin; never moves it back. */
    fun extendFrom(sentNanos: Long) {
        val end = sentNanos + (settings.termMillis - settings.clockMarginMillis) * NANOS_PER_MILLI
        endNanos.updateAndGet { if (it == null || end - it > 0) end else it }
    }

    /** Ends the lease immediately. */
    fun clear(): Unit = endNanos.set(null)
}
