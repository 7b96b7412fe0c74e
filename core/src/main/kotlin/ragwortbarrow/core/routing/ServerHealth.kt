package ragwortbarrow.core.routing

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap

/**
 * Tracks failures of backend servers as seen by this node. A failed server is skipped for a backoff that doubles with
 * each consecutive failure. After the backoff one request probes the server; all others keep skipping it until that
 * request succeeds.
 */
class ServerHealth(
    private val timer: TimerService,
    private val initialBackoffMillis: Long = 100L,
    private val maxBackoffMillis: Long = 30_000L,
) {
    private val failures = ConcurrentHashMap<BackendServerId, Failures>()

    /** Whether [server] is not in backoff. */
    fun isAvailable(server: BackendServerId): Boolean {
        if (failures.isEmpty()) return true
        val current = failures[server] ?: return true
        return timer.nanoTime() >= current.backoffUntilNanos
    }

    /** Claims the single probe request after a backoff; always true for a server without failures. */
    fun tryAcquire(server: BackendServerId): Boolean {
        if (failures.isEmpty()) return true
        val current = failures[server] ?: return true
        val nowNanos = timer.nanoTime()
        if (nowNanos < current.backoffUntilNanos) return false
        return failures.replace(
            server,
            current,
            current.copy(backoffUntilNanos = nowNanos + backoffNanos(current.count)),
        )
    }

    fun recordSuccess(server: BackendServerId) {
        if (failures.isNotEmpty()) failures.remove(server)
    }

    fun recordFailure(server: BackendServerId) {
        failures.compute(server) { _, current ->
            val count = (current?.count ?: 0) + 1
            Failures(count, timer.nanoTime() + backoffNanos(count))
        }
    }

    /** Removes servers that are not in [servers]. */
    fun retainAll(servers: Set<BackendServerId>) {
        failures.keys.retainAll(servers)
    }

    private fun backoffNanos(count: Int): Long {
        val doubled = initialBackoffMillis shl (count - 1).coerceAtMost(MAX_DOUBLINGS)
        return minOf(doubled, maxBackoffMillis) * NANOS_PER_MILLI
    }

    private data class Failures(val count: Int, val backoffUntilNanos: Long)

    private companion object {
        /** Keeps the shift within the range of a Long. */
        const val MAX_DOUBLINGS = 20
    }
}
