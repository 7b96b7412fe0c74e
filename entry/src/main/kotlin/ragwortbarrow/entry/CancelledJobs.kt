package ragwortbarrow.entry

import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/** Recently cancelled batch jobs, which nodes announce to each other. */
class CancelledJobs(private val timer: TimerService, private val announceMillis: Long = 10_000) {
    private val announcedUntilMillis = HashMap<String, Long>()

    /** Called once for each cancelled job. */
    var onCancelled: (job: String) -> Unit = {}

    fun add(job: String) = addAll(listOf(job))

    /** Adds a job without announcing it: every node that runs jobs reads this end from the store itself. */
    fun addStored(job: String) {
        if (announcedUntilMillis.putIfAbsent(job, UNANNOUNCED) == null) onCancelled(job)
    }

    operator fun contains(job: String): Boolean = job in announcedUntilMillis

    fun addAll(jobs: List<String>) {
        val untilMillis = timer.monotonicMillis() + announceMillis
        for (job in jobs) {
            val known = announcedUntilMillis[job]
            if (known == null || known == UNANNOUNCED) announcedUntilMillis[job] = untilMillis
            if (known == null) onCancelled(job)
        }
    }

    /** Jobs to announce to peers. Older ones are kept, so that [onCancelled] is not called twice for a job. */
    fun recent(): List<String> {
        if (announcedUntilMillis.isEmpty()) return emptyList()
        val nowMillis = timer.monotonicMillis()
        return announcedUntilMillis.filterValues { nowMillis < it }.keys.toList()
    }

    private companion object {
        const val UNANNOUNCED = Long.MIN_VALUE
    }
}
