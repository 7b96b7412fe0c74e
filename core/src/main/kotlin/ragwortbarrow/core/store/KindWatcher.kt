package ragwortbarrow.core.store

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import kotlin.random.Random

/**
 * Keeps a node up to date with one kind of platform objects while [isElected] says that this node watches the platform:
 * lists the kind, then watches it from the version of the list, and starts again after any failure.
 *
 * An open watch does not prove that changes arrive, so every [confirmMillis] a list of one name is read: when the watch
 * has reached the version of that list, nothing is missing and [onConfirmed] is called with the monotonic time before the
 * read; when it has not reached it by the next time, the watch is started again.
 */
class KindWatcher(
    private val kind: ObjectKind,
    private val store: ObjectStore,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val isElected: () -> Boolean,
    private val onChanged: suspend (StoredObject) -> Unit,
    private val onListed: suspend (List<StoredObject>) -> Unit = { objects -> objects.forEach { onChanged(it) } },
    private val onRemoved: suspend (name: String, version: Long) -> Unit = { _, _ -> },
    private val onConfirmed: suspend (askedAtNanos: Long) -> Unit = {},
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    /** A node that has just started knows no other member yet and would always be elected. */
    private val startDelayMillis: Long = 1_500,
    private val checkMillis: Long = 500,
    private val confirmMillis: Long = 2_000,
    private val retryMillis: Long = 500,
    private val random: Random = Random.Default,
) {
    private var job: Job? = null

    @Synchronized
    fun start() {
        if (job == null) job = scope.launch { run() }
    }

    @Synchronized
    fun stop() {
        job?.cancel()
        job = null
    }

    private suspend fun run() {
        timer.pause(startDelayMillis)
        while (true) {
            if (isElected()) {
                val reason = runCatching { pass() }
                    .onFailure { if (it is CancellationException) throw it }
                    .fold({ it }, { it.message })
                decisionLog.record("platform_watch_ended", "kind" to kind.path, "reason" to reason)
                timer.pause(retryMillis / 2 + random.nextLong(retryMillis))
            } else {
                timer.pause(checkMillis)
            }
        }
    }

    /** Returns the reason why the pass ended. */
    private suspend fun pass(): String = coroutineScope {
        val askedAtNanos = timer.nanoTime()
        val (objects, version) = store.listAll(kind).getOrElse { return@coroutineScope it.message }
        onListed(objects)
        onConfirmed(askedAtNanos)
        val progress = Progress(version)
        val watch = launch { watch(progress) }
        val reason = supervise(progress)
        watch.cancel()
        reason
    }

    private suspend fun watch(progress: Progress) {
        try {
            store.watch(kind, progress.version).collect { event ->
                when (event) {
                    is WatchEvent.Changed -> onChanged(event.stored)
                    is WatchEvent.Deleted -> onRemoved(event.name, event.version)
                    is WatchEvent.Bookmark -> Unit
                }
                progress.version = maxOf(progress.version, event.resourceVersion())
            }
            progress.ended = "the platform closed the watch"
        } catch (failure: WatchFailedException) {
            progress.ended = failure.message ?: "the watch failed"
        }
    }

    private suspend fun supervise(progress: Progress): String {
        var expected = 0L
        var sinceConfirmMillis = 0L
        while (true) {
            timer.pause(checkMillis)
            progress.ended?.let { return it }
            if (!isElected()) return "this node no longer watches the platform"
            sinceConfirmMillis += checkMillis
            if (sinceConfirmMillis < confirmMillis) continue
            sinceConfirmMillis = 0L
            if (progress.version < expected) return "the watch stays behind the platform"
            val askedAtNanos = timer.nanoTime()
            expected = store.list(kind, limit = 1, metadataOnly = true).fold(
                { page -> page.listVersion.also { if (progress.version >= it) onConfirmed(askedAtNanos) } },
                { 0L },
            )
        }
    }

    private class Progress(@Volatile var version: Long, @Volatile var ended: String? = null)
}
