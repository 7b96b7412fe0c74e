package ragwortbarrow.core.lease

import ragwortbarrow.core.limits.LimitSettings
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.atomic.AtomicReference

/**
 * The end of a lease by the holder's monotonic clock. The term counts from the instant the holder sent its request,
 * which covers the round trip, and ends a margin early. Reading takes no lock.
 */
internal class LeaseClock(private val timer: TimerService, private val settings: LimitSettings) {
    private val endNanos = AtomicReference<Long?>(null)

    fun remainingMillis(): Long = endNanos.get()?.let { (it - timer.nanoTime()) / NANOS_PER_MILLI } ?: 0

    /** Moves the end to one term after [sentNanos], never back. */
    fun grantedFrom(sentNanos: Long) {
        val end = sentNanos + (settings.termMillis - settings.marginMillis) * NANOS_PER_MILLI
        endNanos.updateAndGet { if (it == null || end - it > 0) end else it }
    }

    /** Ends the lease at once. */
    fun end(): Unit = endNanos.set(null)
}
