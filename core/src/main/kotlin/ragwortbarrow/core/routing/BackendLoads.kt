package ragwortbarrow.core.routing

import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.absoluteValue

/**
 * Estimates the load of each backend server: this node's requests in flight plus the requests of other nodes according
 * to the last load report. The report includes this node's requests at the time it describes, which is in the past, so
 * the local sample closest to that time is subtracted from it.
 */
class BackendLoads(private val timer: TimerService) {
    private val entries = ConcurrentHashMap<BackendServerId, ServerLoad>()
    private val listeners = CopyOnWriteArrayList<OnlineLoadListener>()

    fun addListener(listener: OnlineLoadListener) {
        listeners += listener
    }

    /** This node's requests in flight on [server]. */
    fun localInFlight(server: BackendServerId): Int = entries[server]?.localInFlight?.get() ?: 0

    /** This node's requests in flight by server; servers without any are left out. */
    fun localInFlightByServer(): Map<BackendServerId, Int> =
        entries.entries.mapNotNull { (id, load) -> load.localInFlight.get().takeIf { it > 0 }?.let { id to it } }
            .toMap()

    /** Estimated number of requests of all nodes that run or wait on [server]. */
    fun estimatedLoad(server: BackendServerId): Int =
        entries[server]?.let { it.localInFlight.get() + it.remote(timer) } ?: 0

    /** Counts one more request of this node on [server] if its estimated load is below [limit]. */
    fun tryAcquire(server: BackendServerId, limit: Int): Boolean {
        val load = loadOf(server)
        val localLimit = limit - load.remote(timer)
        while (true) {
            val localInFlight = load.localInFlight.get()
            if (localInFlight >= localLimit) return false
            if (load.localInFlight.compareAndSet(localInFlight, localInFlight + 1)) {
                listeners.forEach { it.onInFlightChanged(server, localInFlight + 1) }
                return true
            }
        }
    }

    /** Counts one request of this node on [server] as ended. */
    fun release(server: BackendServerId) {
        val localInFlight = loadOf(server).localInFlight.decrementAndGet()
        listeners.forEach { it.onInFlightChanged(server, localInFlight) }
    }

    /** Notifies the listeners that an online request needs a slot on [server], which is full. */
    fun notifyServerFull(server: BackendServerId) {
        val localInFlight = localInFlight(server)
        listeners.forEach { it.onServerFull(server, localInFlight) }
    }

    /** Records the number of this node's requests on [server]; called before each poll of its load. */
    fun recordSample(server: BackendServerId) {
        val load = loadOf(server)
        val sample = LocalSample(timer.nanoTime(), load.localInFlight.get())
        load.samples = (load.samples + sample).takeLast(SAMPLE_COUNT)
    }

    /** Records a load report that has just arrived; it is used for [validMillis] unless a newer one replaces it. */
    fun record(server: BackendServerId, report: LoadReport, validMillis: Long = 5_000L) {
        val load = loadOf(server)
        val nowNanos = timer.nanoTime()
        val atNanos = nowNanos - report.ageMillis * NANOS_PER_MILLI
        val localThen = load.samples.minByOrNull { (it.atNanos - atNanos).absoluteValue }?.localInFlight
            ?: load.localInFlight.get()
        load.remote = RemoteLoad(
            requests = (report.running + report.waiting - localThen).coerceAtLeast(0),
            validUntilNanos = nowNanos + validMillis * NANOS_PER_MILLI,
        )
    }

    /** Removes servers that are not in [servers] and have no requests of this node in flight. */
    fun retainAll(servers: Set<BackendServerId>) {
        entries.entries.removeIf { (id, load) -> id !in servers && load.localInFlight.get() == 0 }
    }

    private fun loadOf(server: BackendServerId): ServerLoad = entries.computeIfAbsent(server) { ServerLoad() }

    private class ServerLoad {
        val localInFlight = AtomicInteger()

        // Written only by the load poller of this server.
        @Volatile
        var samples: List<LocalSample> = emptyList()

        @Volatile
        var remote: RemoteLoad = RemoteLoad(0, Long.MIN_VALUE)

        fun remote(timer: TimerService): Int {
            val seen = remote
            return if (seen.requests > 0 && timer.nanoTime() < seen.validUntilNanos) seen.requests else 0
        }
    }

    private data class LocalSample(val atNanos: Long, val localInFlight: Int)

    private data class RemoteLoad(val requests: Int, val validUntilNanos: Long)

    private companion object {
        /** With one poll every 250 ms, the samples cover a report lag of 4 s. */
        const val SAMPLE_COUNT = 16
    }
}
