package ragwortbarrow.entry

import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/** Recently cancelled batch jobs, which nodes announce to each other. */
class CancelledJobs(private val timer: TimerService, private val announceMillis: Long = 10_000) {
    private val cancelledAtMillis = HashMap<String, Long>()

    /** Called once for each cancelled job. */
    var onCancelled: (job: String) -> Unit = {}

    fun add(job: String) = addAll(listOf(job))

    operator fun contains(job: String): Boolean = job in cancelledAtMillis

    fun addAll(jobs: List<String>) {
        val nowMillis = timer.monotonicMillis()
        for (job in jobs) if (cancelledAtMillis.putIfAbsent(job, nowMillis) == null) onCancelled(job)
    }

    /** Jobs to announce to peers. Older ones are kept, so that [onCancelled] is not called twice for a job. */
    fun recent(): List<String> {
        if (cancelledAtMillis.isEmpty()) return emptyList()
        val nowMillis = timer.monotonicMillis()
        return cancelledAtMillis.filterValues { nowMillis - it < announceMillis }.keys.toList()
    }
}
