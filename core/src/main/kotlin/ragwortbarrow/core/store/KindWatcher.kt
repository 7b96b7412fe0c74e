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
 * Lists and watches one kind of platform objects while [isElected] is true, and starts over after any failure. The
 * watch begins at the version of the list.
 *
 * An open watch does not prove that changes are delivered. Therefore a list with a limit of one object is read every
 * [confirmMillis]. If the watch has reached the version of that list, no change is missing, and [onConfirmed] is called
 * with the monotonic time before the read. If it has not reached that version by the next check, it is restarted.
 */
class KindWatcher(
    private val kind: ObjectKind,
    private val store: ObjectStore,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val isElected: () -> Boolean,
    private val onChanged: suspend (StoredObject) -> Unit,
    private val onListed: suspend (ObjectPage) -> Unit = { page -> page.items.forEach { onChanged(it) } },
    private val onRemoved: suspend (name: String, version: Long) -> Unit = { _, _ -> },
    private val onConfirmed: suspend (askedAtNanos: Long) -> Unit = {},
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    /** Delays the first election: a node that has just started knows no other member and would always elect itself. */
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
                val reason = runCatching { listAndWatch() }
                    .onFailure { if (it is CancellationException) throw it }
                    .fold({ it }, { it.toString() })
                decisionLog.record("platform_watch_ended", "kind" to kind.path, "reason" to reason)
                timer.pause(retryMillis / 2 + random.nextLong(retryMillis))
            } else {
                timer.pause(checkMillis)
            }
        }
    }

    /** Lists and watches until the watch fails or this node is no longer elected; returns the reason. */
    private suspend fun listAndWatch(): String = coroutineScope {
        val askedAtNanos = timer.nanoTime()
        val listed = store.listAll(kind).getOrElse { return@coroutineScope it.message }
        onListed(listed)
        onConfirmed(askedAtNanos)
        val progress = WatchProgress(listed.listVersion)
        val watch = launch { watch(progress) }
        val reason = monitor(progress)
        watch.cancel()
        reason
    }

    private suspend fun watch(progress: WatchProgress) {
        try {
            store.watch(kind, progress.version).collect { event ->
                when (event) {
                    is WatchEvent.Changed -> onChanged(event.stored)
                    is WatchEvent.Deleted -> onRemoved(event.name, event.version)
                    is WatchEvent.Bookmark -> Unit
                }
                progress.version = maxOf(progress.version, event.resourceVersion())
            }
            progress.endReason = "the platform closed the watch"
        } catch (failure: WatchFailedException) {
            progress.endReason = failure.message ?: "the watch failed"
        }
    }

    private suspend fun monitor(progress: WatchProgress): String {
        var expectedVersion = 0L
        var sinceConfirmationMillis = 0L
        while (true) {
            timer.pause(checkMillis)
            progress.endReason?.let { return it }
            if (!isElected()) return "this node no longer watches the platform"
            sinceConfirmationMillis += checkMillis
            if (sinceConfirmationMillis < confirmMillis) continue
            sinceConfirmationMillis = 0L
            if (progress.version < expectedVersion) return "the watch has fallen behind the platform"
            val askedAtNanos = timer.nanoTime()
            expectedVersion = store.list(kind, limit = 1, metadataOnly = true).fold(
                { page -> page.listVersion.also { if (progress.version >= it) onConfirmed(askedAtNanos) } },
                { 0L },
            )
        }
    }

    private class WatchProgress(@Volatile var version: Long, @Volatile var endReason: String? = null)
}
