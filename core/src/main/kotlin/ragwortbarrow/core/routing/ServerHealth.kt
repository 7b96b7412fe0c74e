package ragwortbarrow.core.routing

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap

/**
 * Failures of backend servers as this node saw them. A server that fails is skipped with a pause that doubles with each
 * failure in a row. After the pause one request tries it, and the others go on skipping it until that request succeeds.
 */
class ServerHealth(
    private val timer: TimerService,
    private val firstPauseMillis: Long = 100L,
    private val maxBackoffMillis: Long = 30_000L,
) {
    private val failures = ConcurrentHashMap<BackendServerId, Failures>()

    /** Whether [server] may be chosen now. */
    fun isAvailable(server: BackendServerId): Boolean {
        if (failures.isEmpty()) return true
        val seen = failures[server] ?: return true
        return timer.nanoTime() >= seen.pausedUntilNanos
    }

    /** Claims the one trial request after a pause; true also for a server without failures. */
    fun tryAcquire(server: BackendServerId): Boolean {
        if (failures.isEmpty()) return true
        val seen = failures[server] ?: return true
        val nowNanos = timer.nanoTime()
        if (nowNanos < seen.pausedUntilNanos) return false
        return failures.replace(server, seen, seen.copy(pausedUntilNanos = nowNanos + pauseNanos(seen.count)))
    }

    fun recordSuccess(server: BackendServerId) {
        if (failures.isNotEmpty()) failures.remove(server)
    }

    fun recordFailure(server: BackendServerId) {
        failures.compute(server) { _, seen ->
            val count = (seen?.count ?: 0) + 1
            Failures(count, timer.nanoTime() + pauseNanos(count))
        }
    }

    /** Forgets servers outside [servers]. */
    fun retainAll(servers: Set<BackendServerId>) {
        failures.keys.retainAll(servers)
    }

    private fun pauseNanos(count: Int): Long {
        val doubled = firstPauseMillis shl (count - 1).coerceAtMost(MAX_DOUBLINGS)
        return minOf(doubled, maxBackoffMillis) * NANOS_PER_MILLI
    }

    private data class Failures(val count: Int, val pausedUntilNanos: Long)

    private companion object {
        /** Keeps the shift within the range of a Long. */
        const val MAX_DOUBLINGS = 20
    }
}
