package ragwortbarrow.standins.engine

import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.time.NANOS_PER_MILLI

/** Reports the load as it was [lagMillis] ago. */
class LaggingLoad(
    private val slots: Int,
    private val lagMillis: Long,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val history = ArrayDeque(listOf(Entry(nanoTime(), 0, 0)))

    @Synchronized
    fun recordChange(running: Int, waiting: Int) {
        history.addLast(Entry(nanoTime(), running, waiting))
        evictExpired()
    }

    @Synchronized
    fun report(): LoadReport {
        evictExpired()
        return LoadReport(history.first().running, history.first().waiting, slots, lagMillis)
    }

    private fun evictExpired() {
        val untilNanos = nanoTime() - lagMillis * NANOS_PER_MILLI
        while (history.size > 1 && history[1].atNanos <= untilNanos) history.removeFirst()
    }

    private data class Entry(val atNanos: Long, val running: Int, val waiting: Int)
}
