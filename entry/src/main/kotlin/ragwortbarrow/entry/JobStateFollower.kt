package ragwortbarrow.entry

import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.JobStore
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Applies the stored states of batch jobs to those that this node runs. A node that cancels a job or takes it over
 * tells the holder, but it may fail after its write and before that, so each holder also follows the stored states.
 */
internal class JobStateFollower(
    private val runner: JobRunner,
    private val cancelledJobs: CancelledJobs,
    private val jobStore: JobStore,
    private val self: JobHolder,
    private val timer: TimerService,
) {
    private var neededUntilMillis = Long.MIN_VALUE

    /** Whether to follow the states; stays true for a while after the last job, since each start costs a list. */
    fun isNeeded(): Boolean {
        val nowMillis = timer.monotonicMillis()
        if (runner.hasUnfinishedJobs) neededUntilMillis = nowMillis + LINGER_MILLIS
        return nowMillis < neededUntilMillis
    }

    /** Applies a state that was listed or has changed. */
    fun update(stored: StoredObject) {
        val state = jobStore.decodeState(stored) ?: return
        // Recorded also if the job does not run here: it may be about to start.
        if (state.isCancelled) cancelledJobs.addStored(stored.name)
        // The state is read again, since the job may have come back to this node since this change.
        if (state.holder != null && state.holder != self) runner.reconcileJobs(listOf(stored.name))
    }

    private companion object {
        const val LINGER_MILLIS = 10_000L
    }
}
