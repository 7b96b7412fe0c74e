package ragwortbarrow.cli.bench

import kotlinx.coroutines.suspendCancellableCoroutine
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import java.util.PriorityQueue
import kotlin.coroutines.resume

/** Time of a discrete simulation in nanoseconds; actions run on the thread that calls [runUntil]. */
internal class VirtualTimer : TimerService {
    private class Action(val atNanos: Long, val sequence: Long, val run: () -> Unit) {
        var isCancelled = false
    }

    private val actions = PriorityQueue(compareBy<Action> { it.atNanos }.thenBy { it.sequence })
    private var nowNanos = 0L
    private var nextSequence = 0L

    override fun nanoTime(): Long = nowNanos

    override fun wallMillis(): Long = nowNanos / NANOS_PER_MILLI

    override fun once(delayMillis: Long, action: () -> Unit): TimerSubscription =
        afterNanos(delayMillis * NANOS_PER_MILLI, action)

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription {
        var next: TimerSubscription? = null
        fun schedule() {
            next = once(periodMillis) {
                schedule()
                action()
            }
        }
        schedule()
        return TimerSubscription { next?.cancel() }
    }

    fun afterNanos(delayNanos: Long, action: () -> Unit): TimerSubscription {
        val entry = Action(nowNanos + delayNanos.coerceAtLeast(0), nextSequence++, action)
        actions += entry
        return TimerSubscription { entry.isCancelled = true }
    }

    suspend fun pauseNanos(nanos: Long): Unit = suspendCancellableCoroutine { continuation ->
        afterNanos(nanos) { continuation.resume(Unit) }
    }

    /** Runs every action that is due up to [nanos], in the order of time. */
    fun runUntil(nanos: Long) {
        while (true) {
            val action = actions.peek()?.takeIf { it.atNanos <= nanos } ?: break
            actions.poll()
            nowNanos = action.atNanos
            if (!action.isCancelled) action.run()
        }
        nowNanos = nanos
    }
}
