package ragwortbarrow.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import ragwortbarrow.core.jobs.BatchJob
import ragwortbarrow.core.jobs.ItemProgress
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.placement.BackendServer

/** A batch job that this node runs: its items without a result, those that run, and the results to be stored. */
internal class HeldJob(
    val job: BatchJob,
    val log: ResultLog,
    maxAttempts: Int,
    /** Whether another node ran the job before, which may still be alive and store results. */
    val isTakenOver: Boolean,
) {
    val waiting = ArrayDeque<ItemProgress>()
    val running = HashMap<ItemProgress, RunningItem>()
    val toStore = ArrayList<ItemResult>()
    var isEnded = false
    var isStoring = false
    var isConfirming = false
    var readAtNanos = 0L
    private var readers = CompletableDeferred<Unit>()

    init {
        job.items.filterNot { log.contains(it.id) }.mapTo(waiting) { ItemProgress(it, maxAttempts) }
    }

    /** Suspends until results are stored or the job is cancelled. */
    suspend fun changed() = readers.await()

    fun wakeReaders() {
        readers.complete(Unit)
        readers = CompletableDeferred()
    }
}

/** Where an item runs, and the coroutine that reads its output. */
internal class RunningItem(val server: BackendServer, val startedNanos: Long) {
    var job: Job? = null
}
