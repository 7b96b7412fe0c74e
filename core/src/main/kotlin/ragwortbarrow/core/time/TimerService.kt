package ragwortbarrow.core.time

import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/**
 * The only source of time. Parts subscribe to it instead of reading a clock or sleeping, so that tests can run
 * in virtual time.
 *
 * Actions run on the timer's threads and must not block.
 */
interface TimerService {
    /** Monotonic time; only differences have a meaning, and only within one process. */
    fun nanoTime(): Long

    /** Wall clock in milliseconds since the Unix epoch; used for deadlines and dates, never for leases. */
    fun wallMillis(): Long

    /** Runs [action] once after [delayMillis]. */
    fun once(delayMillis: Long, action: () -> Unit): TimerSubscription

    /** Runs [action] every [periodMillis], first after one period; a late run does not cause extra runs. */
    fun every(periodMillis: Long, action: () -> Unit): TimerSubscription
}

/** A pending action of a [TimerService]. */
fun interface TimerSubscription {
    fun cancel()
}

const val NANOS_PER_MILLI: Long = 1_000_000L
const val NANOS_PER_SECOND: Long = 1_000_000_000L

/** Monotonic milliseconds. */
fun TimerService.monotonicMillis(): Long = nanoTime() / NANOS_PER_MILLI

/** Suspends for [millis] in the time of this service. */
suspend fun TimerService.pause(millis: Long): Unit = suspendCancellableCoroutine { continuation ->
    val subscription = once(millis) { continuation.resume(Unit) }
    continuation.invokeOnCancellation { subscription.cancel() }
}
