package ragwortbarrow.core.time

import java.util.PriorityQueue

/**
 * A timer service for tests, whose time advances only when [advance] is called.
 *
 * Actions run on the thread that calls [advance], ordered by their due time; actions that are due at the same time run
 * in the order in which they were scheduled.
 */
class ManualTimerService(private var nowNanos: Long = 0L, private var wallOffsetMillis: Long = 1_700_000_000_000L) :
    TimerService {
    private val queue = PriorityQueue(compareBy<Entry> { it.dueNanos }.thenBy { it.sequence })
    private var nextSequence = 0L

    @Synchronized
    override fun nanoTime(): Long = nowNanos

    @Synchronized
    override fun wallMillis(): Long = wallOffsetMillis + nowNanos / NANOS_PER_MILLI

    override fun once(delayMillis: Long, action: () -> Unit): TimerSubscription =
        add(delayMillis, periodMillis = null, action = action)

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription =
        add(periodMillis, periodMillis = periodMillis, action = action)

    /** Advances time by [millis] and runs every action that becomes due meanwhile. */
    fun advance(millis: Long) {
        val untilNanos = nanoTime() + millis * NANOS_PER_MILLI
        while (true) {
            val entry = pollDue(untilNanos) ?: break
            entry.action()
        }
        setNow(untilNanos)
    }

    @Synchronized
    private fun add(delayMillis: Long, periodMillis: Long?, action: () -> Unit): TimerSubscription {
        val dueNanos = nowNanos + delayMillis.coerceAtLeast(0) * NANOS_PER_MILLI
        val entry = Entry(dueNanos, nextSequence++, periodMillis, action)
        queue.add(entry)
        return TimerSubscription { cancel(entry) }
    }

    @Synchronized
    private fun cancel(entry: Entry) {
        entry.isCancelled = true
        queue.remove(entry)
    }

    @Synchronized
    private fun pollDue(untilNanos: Long): Entry? {
        val entry = queue.peek()?.takeIf { it.dueNanos <= untilNanos } ?: return null
        queue.poll()
        nowNanos = maxOf(nowNanos, entry.dueNanos)
        if (entry.periodMillis != null && !entry.isCancelled) {
            entry.dueNanos += entry.periodMillis * NANOS_PER_MILLI
            entry.sequence = nextSequence++
            queue.add(entry)
        }
        return entry
    }

    @Synchronized
    private fun setNow(nanos: Long) {
        nowNanos = maxOf(nowNanos, nanos)
    }

    private class Entry(var dueNanos: Long, var sequence: Long, val periodMillis: Long?, val action: () -> Unit) {
        var isCancelled: Boolean = false
    }
}
