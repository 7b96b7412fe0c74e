package ragwortbarrow.core.time

import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/**
 * The only source of time. Components use it instead of reading a clock or sleeping, so that tests can run in virtual
 * time.
 *
 * Actions run on the timer's threads and must not block.
 */
interface TimerService {
    /** Monotonic time; only differences between two values from the same process are meaningful. */
    fun nanoTime(): Long

    /** Wall-clock time in milliseconds since the Unix epoch, for deadlines and dates; leases never use it. */
    fun wallMillis(): Long

    /** Runs [action] once after [delayMillis]. */
    fun once(delayMillis: Long, action: () -> Unit): TimerSubscription

    /** Runs [action] every [periodMillis], first after one period. Runs that were missed are not made up for. */
    fun every(periodMillis: Long, action: () -> Unit): TimerSubscription
}

/** A scheduled action of a [TimerService]. */
fun interface TimerSubscription {
    fun cancel()
}

const val NANOS_PER_MILLI: Long = 1_000_000L
const val NANOS_PER_SECOND: Long = 1_000_000_000L
const val MILLIS_PER_SECOND: Double = 1_000.0

/** Monotonic time in milliseconds; see [TimerService.nanoTime]. */
fun TimerService.monotonicMillis(): Long = nanoTime() / NANOS_PER_MILLI

/** Suspends for [millis], measured by this timer service. */
suspend fun TimerService.pause(millis: Long): Unit = suspendCancellableCoroutine { continuation ->
    val subscription = once(millis) { continuation.resume(Unit) }
    continuation.invokeOnCancellation { subscription.cancel() }
}
