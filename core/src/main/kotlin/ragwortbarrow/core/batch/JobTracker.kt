package ragwortbarrow.core.batch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.WatchEvent
import ragwortbarrow.core.store.WatchFailedException
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.core.time.pause
import kotlin.random.Random

/**
 * Keeps a local copy of the open jobs and the state of their chunks up to date with two watches.
 *
 * Chunks are watched without their specs: their labels contain the holder and the number of finished items. An open
 * watch costs one platform call, no matter how many chunks change.
 */
internal class JobTracker(
    private val store: ObjectStore,
    private val timer: TimerService,
    /** Must run its coroutines one at a time. */
    private val scope: CoroutineScope,
    private val decisions: DecisionLog = DecisionLog.NONE,
    private val onChange: (TrackedJob) -> Unit,
) {
    private val reader = BatchReader(store)
    private val openJobs = LinkedHashMap<String, TrackedJob>()
    private val finishedJobIds = LinkedHashSet<String>()
    private val random = Random(7)
    private var syncJob: Job? = null

    /** Chunks whose job has not been received yet, by job; the two watches are not ordered with each other. */
    private val pendingSummaries = LinkedHashMap<String, MutableList<ChunkSummary>>()

    val jobs: Collection<TrackedJob> get() = openJobs.values

    fun job(jobId: String): TrackedJob? = openJobs[jobId]

    fun start() {
        syncJob = scope.launch { syncJobs() }
    }

    fun stop() {
        syncJob?.cancel()
    }

    /** Applies an object that this node has just written or read, without waiting for the watch. */
    fun apply(stored: StoredObject) {
        when (stored.kind) {
            ObjectKind.BATCH_JOBS -> applyJob(stored)
            else -> applyChunk(stored)
        }
    }

    private suspend fun syncJobs() {
        var attempts = 0
        while (true) {
            val version = readOpenJobs()
            version.onSuccess {
                attempts = 0
                watchJobsAndChunks(it)
            }
            val backoffMillis = WriteRetryPolicy.UNTIL_KNOWN.backoffMillis(++attempts, random)
            decisions.record("batch_watch", "state" to "reading_again", "pause_millis" to backoffMillis)
            timer.pause(backoffMillis)
        }
    }

    /** Reads all open jobs with their chunks and returns the version to start the watches from. */
    private suspend fun readOpenJobs(): Result<Long, StoreError> {
        val first = store.list(ObjectKind.BATCH_CHUNKS, limit = 1, metadataOnly = true)
            .getOrElse { return Err(it) }
        val listedJobIds = HashSet<String>()
        for (state in listOf(JobState.IN_PROGRESS, JobState.CANCELLING)) {
            val labels = mapOf(BatchNames.LABEL_STATE to state.name)
            reader.listAll(ObjectKind.BATCH_JOBS, labels, metadataOnly = false)
                .getOrElse { return Err(it) }
                .forEach { stored ->
                    listedJobIds += stored.name
                    applyJob(stored)
                }
        }
        // A list may be stale, so a job that is missing from it is finished only if its own object says so.
        for (jobId in openJobs.keys.filter { it !in listedJobIds }) reader.job(jobId).onSuccess { applyJob(it.first) }
        for (job in openJobs.values.toList()) {
            reader.chunkSummaries(job.id)
                .getOrElse { return Err(it) }
                .forEach { job.apply(it, timer.monotonicMillis()) }
            onChange(job)
        }
        return Ok(first.listVersion)
    }

    private suspend fun watchJobsAndChunks(fromVersion: Long) {
        val ended = CompletableDeferred<Unit>()
        val watches = listOf(
            scope.launch { watch(ObjectKind.BATCH_JOBS, fromVersion, ::applyJob).also { ended.complete(Unit) } },
            scope.launch { watch(ObjectKind.BATCH_CHUNKS, fromVersion, ::applyChunk).also { ended.complete(Unit) } },
        )
        try {
            ended.await()
        } finally {
            watches.forEach { it.cancel() }
        }
    }

    /**
     * Watches one kind of objects until its last version is too old to watch from. A watch that the platform closes is
     * resumed from the last version received.
     */
    private suspend fun watch(kind: ObjectKind, fromVersion: Long, apply: (StoredObject) -> Unit) {
        var version = fromVersion
        var failures = 0
        while (true) {
            try {
                store.watch(kind, version, metadataOnly = kind == ObjectKind.BATCH_CHUNKS).collect { event ->
                    failures = 0
                    when (event) {
                        is WatchEvent.Changed -> {
                            apply(event.stored)
                            version = maxOf(version, event.stored.version)
                        }
                        is WatchEvent.Deleted -> version = maxOf(version, event.version)
                        is WatchEvent.Bookmark -> version = maxOf(version, event.version)
                    }
                }
            } catch (e: CancellationException) {
                throw e
            } catch (e: WatchFailedException) {
                if (e.versionTooOld) return
            }
            timer.pause(WriteRetryPolicy.UNTIL_KNOWN.backoffMillis(++failures, random))
        }
    }

    private fun applyJob(stored: StoredObject) {
        val known = openJobs[stored.name]
        if (stored.name in finishedJobIds || (known != null && known.stored.version >= stored.version)) return
        val record = stored.record<JobRecord>()
        if (record.state == JobState.COMPLETED || record.state == JobState.CANCELLED) {
            markFinished(stored.name)
            return
        }
        val trackedJob = known ?: TrackedJob(stored.name, stored, record).also { openJobs[stored.name] = it }
        trackedJob.stored = stored
        trackedJob.record = record
        pendingSummaries.remove(stored.name)?.forEach { trackedJob.apply(it, timer.monotonicMillis()) }
        onChange(trackedJob)
    }

    private fun applyChunk(stored: StoredObject) {
        val (jobId, summary) = BatchNames.chunkSummary(stored.labels, stored.version) ?: return
        if (jobId in finishedJobIds) return
        val trackedJob = openJobs[jobId]
        if (trackedJob == null) {
            pendingSummaries.getOrPut(jobId) { ArrayList() } += summary
            while (pendingSummaries.size > MAX_PENDING_JOBS) pendingSummaries.remove(pendingSummaries.keys.first())
            return
        }
        trackedJob.apply(summary, timer.monotonicMillis())
        onChange(trackedJob)
    }

    private fun markFinished(jobId: String) {
        finishedJobIds += jobId
        while (finishedJobIds.size > MAX_FINISHED_JOBS) finishedJobIds.remove(finishedJobIds.first())
        pendingSummaries.remove(jobId)
        val trackedJob = openJobs.remove(jobId) ?: return
        val cancelled = trackedJob.record.state == JobState.CANCELLING
        trackedJob.record = trackedJob.record.copy(state = if (cancelled) JobState.CANCELLED else JobState.COMPLETED)
        onChange(trackedJob)
    }

    private companion object {
        const val MAX_PENDING_JOBS = 1_000
        const val MAX_FINISHED_JOBS = 10_000
    }
}
