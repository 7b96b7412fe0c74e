package ragwortbarrow.entry

import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/** Batch jobs that were cancelled within the last seconds; nodes pass them on to each other. */
class EndedJobs(private val timer: TimerService, private val keepMillis: Long = 10_000) {
    private val endedAtMillis = HashMap<String, Long>()

    /** Called once for each job that turns out to be cancelled. */
    var ended: (job: String) -> Unit = {}

    fun add(job: String) = learned(listOf(job))

    fun learned(jobs: List<String>) {
        val nowMillis = timer.monotonicMillis()
        for (job in jobs) if (endedAtMillis.putIfAbsent(job, nowMillis) == null) ended(job)
    }

    /** Jobs that the other nodes may not know of yet. Older ones stay known, so that none is reported twice. */
    fun recent(): List<String> {
        if (endedAtMillis.isEmpty()) return emptyList()
        val nowMillis = timer.monotonicMillis()
        return endedAtMillis.filterValues { nowMillis - it < keepMillis }.keys.toList()
    }
}
