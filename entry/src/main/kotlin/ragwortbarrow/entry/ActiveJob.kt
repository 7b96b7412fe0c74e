package ragwortbarrow.entry

import kotlinx.coroutines.Job
import ragwortbarrow.core.jobs.BatchItem
import ragwortbarrow.core.jobs.BatchJob
import ragwortbarrow.core.jobs.ItemProgress
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.jobs.JobRoute
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.time.ChangeSignal

/** A batch job that this node runs: its waiting and running items, and the results that are not stored yet. */
internal class ActiveJob(
    val job: BatchJob,
    val log: ResultLog,
    /** Whether the job was taken over from a node that may still be alive and store results. */
    val isTakenOver: Boolean,
    /** Monotonic time at which this node started the job. */
    val startedMillis: Long,
    sharedPromptParts: (BatchItem) -> List<String> = { emptyList() },
) {
    val route = JobRoute(job)
    val waiting = ArrayDeque<ItemProgress>()
    val running = HashMap<ItemProgress, RunningItem>()

    /** Waiting items that are not started, because servers crash on a part of their prompt. */
    val withheld = HashSet<ItemProgress>()
    val unstoredResults = ArrayList<ItemResult>()

    /** Size of a chunk, in bytes; smaller once the store has rejected a chunk of several results. */
    var maxChunkBytes = Int.MAX_VALUE

    /** Times that the store has rejected a chunk with a single result. */
    var rejectedResults = 0
    var isStopped = false

    /** Whether a chunk of this node is the last one, so that no earlier holder can store another one. */
    var isSealed = false
    var isStoring = false

    /** Whether another node has stored a chunk, so that it may have taken the job over. */
    var mayHaveNewHolder = false

    /** Whether the stored state of the job has to be read, because messages about its changes may have been missed. */
    var needsReconciliation = false
    var isReconciling = false
    var rereadAtNanos = 0L

    /** The read of results from the store that is under way for callers. */
    var reread: Job? = null
    private val change = ChangeSignal()

    init {
        job.items.filterNot { log.contains(it.id) }.mapTo(waiting) { ItemProgress(it, sharedPromptParts(it)) }
    }

    /** Suspends until results are stored or the job stops. */
    suspend fun awaitChange() = change.await()

    fun signalChange() = change.raise()
}

/** The server that runs an item, and the coroutine that reads its output. */
internal class RunningItem(
    val server: BackendServer,
    val startedNanos: Long,
    /** The quarantined parts of the item's prompt, if its run is a trial of them. */
    val testedParts: Set<String>,
) {
    var job: Job? = null
}
