package ragwortbarrow.core.batch

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import ragwortbarrow.core.time.pause

/**
 * Moves jobs to their final state: completed once every chunk is done, cancelled once every chunk is done or closed.
 * The job object is updated conditionally, so a job is finished once even if several nodes try.
 */
internal class JobFinisher(
    store: ObjectStore,
    private val timer: TimerService,
    private val chunkStore: ChunkStore,
    private val jobTracker: JobTracker,
    private val members: MemberView,
    private val writerTokens: WriterTokens,
    private val decisions: DecisionLog,
    private val scope: CoroutineScope,
    private val settings: BatchSettings,
) {
    private val reader = BatchReader(store)
    private val objectWriter = BatchObjectWriter(store, timer)
    private val activeJobIds = HashSet<String>()
    private var sweepSubscription: TimerSubscription? = null

    fun start() {
        sweepSubscription = timer.every(SWEEP_MILLIS) { scope.launch { sweep() } }
    }

    fun stop() {
        sweepSubscription?.cancel()
    }

    /** Completes [job], whose last chunk was committed. */
    fun scheduleCompletion(job: TrackedJob) = launchOnce(job.id) { complete(job) }

    /** Closes the chunks of a job in state CANCELLING after a grace period, then marks the job as cancelled. */
    fun scheduleCancellation(jobId: String) = launchOnce(jobId) {
        timer.pause(settings.closeGraceMillis)
        cancel(jobId)
    }

    /** Finishes jobs that the responsible node left unfinished; one node is selected for each job. */
    private fun sweep() {
        val live = members.live()
        for (job in jobTracker.jobs.toList()) {
            val cancelling = job.record.state == JobState.CANCELLING
            if (!cancelling && !job.allChunksFinished) continue
            val selected = RendezvousHash.choose("finish/${job.id}", live) { it.vm.value }
            if (selected?.vm != members.self.vm) continue
            if (cancelling) scheduleCancellation(job.id) else scheduleCompletion(job)
        }
    }

    private fun launchOnce(jobId: String, action: suspend () -> Unit) {
        if (!activeJobIds.add(jobId)) return
        scope.launch {
            try {
                action()
            } finally {
                activeJobIds -= jobId
            }
        }
    }

    private suspend fun complete(job: TrackedJob) {
        if (!job.allChunksFinished) return
        finish(job.id, JobState.IN_PROGRESS, JobState.COMPLETED, job.completedItems, job.failedItems)
    }

    private suspend fun cancel(jobId: String) {
        val record = reader.job(jobId).getOrElse { return }.second
        if (record.state != JobState.CANCELLING) return
        var completedItems = 0
        var failedItems = 0
        for ((index, itemCount) in record.chunkItemCounts.withIndex()) {
            val chunk = chunkStore.close(jobId, index, itemCount) ?: return
            completedItems += chunk.completedItems
            failedItems += chunk.failedItems
        }
        finish(jobId, JobState.CANCELLING, JobState.CANCELLED, completedItems, failedItems)
    }

    private suspend fun finish(jobId: String, from: JobState, to: JobState, completedItems: Int, failedItems: Int) {
        while (true) {
            val (stored, record) = reader.job(jobId).getOrElse { return }
            if (record.state != from) {
                jobTracker.apply(stored)
                return
            }
            val next = record.copy(
                state = to,
                completedItems = completedItems,
                failedItems = failedItems,
                writer = writerTokens.next(),
            )
            val labels = BatchNames.jobLabels(next)
            val updated = objectWriter.update(stored, next.toSpec(), labels, WriteRetryPolicy.UNTIL_KNOWN)
            updated.onSuccess {
                decisions.record("batch_job", "job" to jobId, "state" to to.name.lowercase())
                jobTracker.apply(it)
                return
            }
            if (updated.getError()?.isConflict() != true) return
        }
    }

    private companion object {
        const val SWEEP_MILLIS = 5_000L
    }
}
