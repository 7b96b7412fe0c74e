package ragwortbarrow.entry

import ragwortbarrow.core.callers.CallerMemory
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.http.CallerRefusal

/** Counts evicted callers, and logs them together once per period, since a crowd may be refused at the same time. */
internal class CallerRefusalLog(
    private val memory: CallerMemory,
    private val timer: TimerService,
    private val metrics: EntryMetrics,
    private val log: DecisionLog,
) {
    private val unlogged = HashMap<CallerRefusal, Int>()

    fun record(reason: CallerRefusal) {
        metrics.countRefusedCaller(reason)
        if (unlogged.isEmpty()) timer.once(PERIOD_MILLIS, ::logAll)
        unlogged.merge(reason, 1, Int::plus)
    }

    private fun logAll() {
        log.record(
            "callers_refused",
            "for_memory" to (unlogged[CallerRefusal.MEMORY] ?: 0),
            "for_connections" to (unlogged[CallerRefusal.CONNECTIONS] ?: 0),
            "held_bytes" to memory.totalBytes,
            "connections" to memory.connections,
        )
        unlogged.clear()
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L
    }
}
