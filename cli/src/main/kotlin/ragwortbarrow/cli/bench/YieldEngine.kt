package ragwortbarrow.cli.bench

import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.TimerSubscription
import ragwortbarrow.standins.engine.LaggingLoad

/** A request on a simulated engine; [onFirstToken] and [onEnd] run in virtual time. */
internal class EngineRequest(
    val id: RequestId,
    val batch: Boolean,
    val firstTokenMillis: Long,
    val totalMillis: Long,
    val onFirstToken: () -> Unit = {},
    val onEnd: () -> Unit,
)

/** An engine that admits requests as they arrive, runs as many as it has slots, and knows no priorities. */
internal class YieldEngine(private val timer: ManualTimerService, private val slots: Int, lagMillis: Long) {
    private val waiting = ArrayDeque<EngineRequest>()
    private val running = LinkedHashMap<RequestId, EngineRequest>()
    private val timers = HashMap<RequestId, List<TimerSubscription>>()
    private val load = LaggingLoad(slots, lagMillis, timer::nanoTime)

    val runningBatch: Int get() = running.values.count { it.batch }
    val runningOnline: Int get() = running.values.count { !it.batch }

    fun report(): LoadReport = load.report()

    fun arrive(request: EngineRequest) {
        waiting += request
        admit()
    }

    fun cancel(id: RequestId) {
        waiting.removeIf { it.id == id }
        remove(id)
        admit()
    }

    private fun admit() {
        while (running.size < slots) {
            val request = waiting.removeFirstOrNull() ?: break
            running[request.id] = request
            timers[request.id] = listOf(
                timer.once(request.firstTokenMillis) { request.onFirstToken() },
                timer.once(request.totalMillis) {
                    remove(request.id)
                    request.onEnd()
                    admit()
                },
            )
        }
        load.recordChange(running.size, waiting.size)
    }

    private fun remove(id: RequestId) {
        running.remove(id)
        timers.remove(id)?.forEach { it.cancel() }
    }
}
