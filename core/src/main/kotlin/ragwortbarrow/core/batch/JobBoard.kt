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
 * The open jobs and their chunks, followed by two watches. Chunks are watched without their specs: labels tell who
 * holds a chunk and how many items are finished, and one open watch costs one platform call however many chunks change.
 */
internal class JobBoard(
    private val store: ObjectStore,
    private val timer: TimerService,
    /** Runs its coroutines one at a time. */
    private val scope: CoroutineScope,
    private val decisions: DecisionLog = DecisionLog.NONE,
    private val onChange: (JobView) -> Unit,
) {
    private val reader = BatchReader(store)
    private val open = LinkedHashMap<String, JobView>()
    private val finished = LinkedHashSet<String>()
    private val random = Random(7)
    private var running: Job? = null

    /** Summaries of jobs whose own object this node has not seen yet; the two watches are not ordered. */
    private val early = LinkedHashMap<String, MutableList<ChunkSummary>>()

    val jobs: Collection<JobView> get() = open.values

    fun job(jobId: String): JobView? = open[jobId]

    fun start() {
        running = scope.launch { follow() }
    }

    fun stop() {
        running?.cancel()
    }

    /** Takes what this node wrote itself, ahead of the watch. */
    fun apply(stored: StoredObject) {
        when (stored.kind) {
            ObjectKind.BATCH_JOBS -> applyJob(stored)
            else -> applyChunk(stored)
        }
    }

    private suspend fun follow() {
        var tries = 0
        while (true) {
            val version = readAll()
            version.onSuccess {
                tries = 0
                watchBoth(it)
            }
            val pauseMillis = RetryPolicy.UNTIL_KNOWN.pauseMillis(++tries, random)
            decisions.record("batch_watch", "state" to "reading_again", "pause_millis" to pauseMillis)
            timer.pause(pauseMillis)
        }
    }

    /** Reads all open jobs with their chunks and returns the version from which to watch. */
    private suspend fun readAll(): Result<Long, StoreError> {
        val first = store.list(ObjectKind.BATCH_CHUNKS, limit = 1, metadataOnly = true)
            .getOrElse { return Err(it) }
        val seen = HashSet<String>()
        for (state in listOf(JobState.IN_PROGRESS, JobState.CANCELLING)) {
            val labels = mapOf(BatchNames.LABEL_STATE to state.name)
            reader.all(ObjectKind.BATCH_JOBS, labels, metadataOnly = false)
                .getOrElse { return Err(it) }
                .forEach { stored ->
                    seen += stored.name
                    applyJob(stored)
                }
        }
        // A list may be stale, so only the job's own object proves that it is finished.
        for (jobId in open.keys.filter { it !in seen }) reader.job(jobId).onSuccess { applyJob(it.first) }
        for (job in open.values.toList()) {
            reader.chunkSummaries(job.id)
                .getOrElse { return Err(it) }
                .forEach { job.apply(it, timer.monotonicMillis()) }
            onChange(job)
        }
        return Ok(first.listVersion)
    }

    private suspend fun watchBoth(fromVersion: Long) {
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

    /** Follows one kind until the watch cannot go on; a watch that the platform closes goes on where it was. */
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
            timer.pause(RetryPolicy.UNTIL_KNOWN.pauseMillis(++failures, random))
        }
    }

    private fun applyJob(stored: StoredObject) {
        val known = open[stored.name]
        if (stored.name in finished || (known != null && known.stored.version >= stored.version)) return
        val record = stored.record<JobRecord>()
        if (record.state == JobState.COMPLETED || record.state == JobState.CANCELLED) {
            finish(stored.name)
            return
        }
        val view = known ?: JobView(stored.name, stored, record).also { open[stored.name] = it }
        view.stored = stored
        view.record = record
        early.remove(stored.name)?.forEach { view.apply(it, timer.monotonicMillis()) }
        onChange(view)
    }

    private fun applyChunk(stored: StoredObject) {
        val (jobId, summary) = BatchNames.chunkSummary(stored.labels, stored.version) ?: return
        if (jobId in finished) return
        val view = open[jobId]
        if (view == null) {
            early.getOrPut(jobId) { ArrayList() } += summary
            while (early.size > MAX_EARLY_JOBS) early.remove(early.keys.first())
            return
        }
        view.apply(summary, timer.monotonicMillis())
        onChange(view)
    }

    private fun finish(jobId: String) {
        finished += jobId
        while (finished.size > MAX_FINISHED_JOBS) finished.remove(finished.first())
        early.remove(jobId)
        val view = open.remove(jobId) ?: return
        val cancelled = view.record.state == JobState.CANCELLING
        view.record = view.record.copy(state = if (cancelled) JobState.CANCELLED else JobState.COMPLETED)
        onChange(view)
    }

    private companion object {
        const val MAX_EARLY_JOBS = 1_000
        const val MAX_FINISHED_JOBS = 10_000
    }
}
