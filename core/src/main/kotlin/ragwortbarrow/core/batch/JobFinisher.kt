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
 * Brings jobs to their end: completed once every chunk is done, cancelled once every chunk is done or closed. The job
 * object is updated conditionally, so several nodes that try to finish a job do it once.
 */
internal class JobFinisher(
    store: ObjectStore,
    private val timer: TimerService,
    private val chunks: ChunkStore,
    private val board: JobBoard,
    private val members: MemberView,
    private val writers: WriterTokens,
    private val decisions: DecisionLog,
    private val scope: CoroutineScope,
    private val settings: BatchSettings,
) {
    private val reader = BatchReader(store)
    private val writes = ResolvedWrites(store, timer)
    private val active = HashSet<String>()
    private var sweeping: TimerSubscription? = null

    fun start() {
        sweeping = timer.every(SWEEP_MILLIS) { scope.launch { sweep() } }
    }

    fun stop() {
        sweeping?.cancel()
    }

    /** Completes [job] after its last chunk was committed. */
    fun completeSoon(job: JobView) = once(job.id) { complete(job) }

    /** Closes the chunks of a cancelled job. */
    fun cancelSoon(jobId: String) = once(jobId) {
        timer.pause(settings.closeGraceMillis)
        cancel(jobId)
    }

    /** Finishes what the node that should have done it did not; one node is chosen for each job. */
    private fun sweep() {
        val live = members.live()
        for (job in board.jobs.toList()) {
            val cancelling = job.record.state == JobState.CANCELLING
            if (!cancelling && !job.allChunksFinished) continue
            val chosen = RendezvousHash.choose("finish/${job.id}", live) { it.vm.value }
            if (chosen?.vm != members.self.vm) continue
            if (cancelling) cancelSoon(job.id) else completeSoon(job)
        }
    }

    private fun once(jobId: String, action: suspend () -> Unit) {
        if (!active.add(jobId)) return
        scope.launch {
            try {
                action()
            } finally {
                active -= jobId
            }
        }
    }

    private suspend fun complete(job: JobView) {
        if (!job.allChunksFinished) return
        finish(job.id, JobState.IN_PROGRESS, JobState.COMPLETED, job.completedItems, job.failedItems)
    }

    private suspend fun cancel(jobId: String) {
        val record = reader.job(jobId).getOrElse { return }.second
        if (record.state != JobState.CANCELLING) return
        var completedItems = 0
        var failedItems = 0
        for ((index, itemCount) in record.chunkItemCounts.withIndex()) {
            val closed = chunks.close(jobId, index, itemCount) ?: return
            completedItems += closed.completedItems
            failedItems += closed.failedItems
        }
        finish(jobId, JobState.CANCELLING, JobState.CANCELLED, completedItems, failedItems)
    }

    private suspend fun finish(jobId: String, from: JobState, to: JobState, completedItems: Int, failedItems: Int) {
        while (true) {
            val (stored, record) = reader.job(jobId).getOrElse { return }
            if (record.state != from) {
                board.apply(stored)
                return
            }
            val next = record.copy(
                state = to,
                completedItems = completedItems,
                failedItems = failedItems,
                writer = writers.next(),
            )
            val labels = BatchNames.jobLabels(next)
            val updated = writes.update(stored, next.toSpec(), labels, RetryPolicy.UNTIL_KNOWN)
            updated.onSuccess {
                decisions.record("batch_job", "job" to jobId, "state" to to.name.lowercase())
                board.apply(it)
                return
            }
            if (updated.getError()?.isRace() != true) return
        }
    }

    private companion object {
        const val SWEEP_MILLIS = 5_000L
    }
}
