package ragwortbarrow.core.time

import java.util.PriorityQueue

/**
 * A timer service whose time moves only when a test says so.
 *
 * Due actions run in order of their time on the thread that calls [advance]; actions of the same instant run in the
 * order of their subscription.
 */
class ManualTimerService(private var nowNanos: Long = 0L, private var wallOffsetMillis: Long = 1_700_000_000_000L) :
    TimerService {
    private val pending = PriorityQueue(compareBy<Entry> { it.atNanos }.thenBy { it.sequence })
    private var nextSequence = 0L

    @Synchronized
    override fun nanoTime(): Long = nowNanos

    @Synchronized
    override fun wallMillis(): Long = wallOffsetMillis + nowNanos / NANOS_PER_MILLI

    override fun once(delayMillis: Long, action: () -> Unit): TimerSubscription =
        add(delayMillis, periodMillis = null, action = action)

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription =
        add(periodMillis, periodMillis = periodMillis, action = action)

    /** Moves time forward by [millis] and runs every action that becomes due on the way. */
    fun advance(millis: Long) {
        val untilNanos = nanoTime() + millis * NANOS_PER_MILLI
        while (true) {
            val entry = takeDue(untilNanos) ?: break
            entry.action()
        }
        setNow(untilNanos)
    }

    @Synchronized
    private fun add(delayMillis: Long, periodMillis: Long?, action: () -> Unit): TimerSubscription {
        val atNanos = nowNanos + delayMillis.coerceAtLeast(0) * NANOS_PER_MILLI
        val entry = Entry(atNanos, nextSequence++, periodMillis, action)
        pending.add(entry)
        return TimerSubscription { cancel(entry) }
    }

    @Synchronized
    private fun cancel(entry: Entry) {
        entry.cancelled = true
        pending.remove(entry)
    }

    @Synchronized
    private fun takeDue(untilNanos: Long): Entry? {
        val entry = pending.peek()?.takeIf { it.atNanos <= untilNanos } ?: return null
        pending.poll()
        nowNanos = maxOf(nowNanos, entry.atNanos)
        if (entry.periodMillis != null && !entry.cancelled) {
            entry.atNanos += entry.periodMillis * NANOS_PER_MILLI
            entry.sequence = nextSequence++
            pending.add(entry)
        }
        return entry
    }

    @Synchronized
    private fun setNow(nanos: Long) {
        nowNanos = maxOf(nowNanos, nanos)
    }

    private class Entry(var atNanos: Long, var sequence: Long, val periodMillis: Long?, val action: () -> Unit) {
        var cancelled: Boolean = false
    }
}
