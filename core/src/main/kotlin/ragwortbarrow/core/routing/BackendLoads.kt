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
 * The estimated load of each backend server: own requests in flight, plus what the last load report says of everybody
 * else. The report lags, so the own share is taken from the sample nearest to the instant that the report describes.
 */
class BackendLoads(private val timer: TimerService) {
    private val entries = ConcurrentHashMap<BackendServerId, ServerLoad>()
    private val listeners = CopyOnWriteArrayList<OnlineLoadListener>()

    fun addListener(listener: OnlineLoadListener) {
        listeners += listener
    }

    /** Own requests in flight on [server]. */
    fun own(server: BackendServerId): Int = entries[server]?.own?.get() ?: 0

    /** Own requests in flight on each server that has any. */
    fun ownInFlight(): Map<BackendServerId, Int> =
        entries.entries.mapNotNull { (id, load) -> load.own.get().takeIf { it > 0 }?.let { id to it } }.toMap()

    /** Requests that are estimated to run or wait on [server], from all nodes. */
    fun estimate(server: BackendServerId): Int = entries[server]?.let { it.own.get() + it.others(timer) } ?: 0

    /** Counts one own request on [server] if its estimated load is below [limit]. */
    fun tryAcquire(server: BackendServerId, limit: Int): Boolean {
        val load = entry(server)
        val ownLimit = limit - load.others(timer)
        while (true) {
            val own = load.own.get()
            if (own >= ownLimit) return false
            if (load.own.compareAndSet(own, own + 1)) {
                listeners.forEach { it.onInFlightChanged(server, own + 1) }
                return true
            }
        }
    }

    /** Ends one own request on [server]. */
    fun release(server: BackendServerId) {
        val own = entry(server).own.decrementAndGet()
        listeners.forEach { it.onInFlightChanged(server, own) }
    }

    /** Tells the listeners that an online request wants [server], which is full. */
    fun reportFull(server: BackendServerId) {
        val own = own(server)
        listeners.forEach { it.onServerFull(server, own) }
    }

    /** Remembers the present own share of [server]; called before each poll of its load. */
    fun recordSample(server: BackendServerId) {
        val load = entry(server)
        val sample = OwnSample(timer.nanoTime(), load.own.get())
        load.samples = (load.samples + sample).takeLast(SAMPLE_COUNT)
    }

    /** Takes in a load report that arrived now and is used for [validMillis] if no other follows. */
    fun record(server: BackendServerId, report: LoadReport, validMillis: Long = 5_000L) {
        val load = entry(server)
        val nowNanos = timer.nanoTime()
        val atNanos = nowNanos - report.ageMillis * NANOS_PER_MILLI
        val ownThen = load.samples.minByOrNull { (it.atNanos - atNanos).absoluteValue }?.own ?: load.own.get()
        load.others = OthersShare(
            requests = (report.running + report.waiting - ownThen).coerceAtLeast(0),
            validUntilNanos = nowNanos + validMillis * NANOS_PER_MILLI,
        )
    }

    /** Forgets servers outside [servers] that have nothing in flight. */
    fun retainAll(servers: Set<BackendServerId>) {
        entries.entries.removeIf { (id, load) -> id !in servers && load.own.get() == 0 }
    }

    private fun entry(server: BackendServerId): ServerLoad = entries.computeIfAbsent(server) { ServerLoad() }

    private class ServerLoad {
        val own = AtomicInteger()

        // Written by the poller of this server only.
        @Volatile
        var samples: List<OwnSample> = emptyList()

        @Volatile
        var others: OthersShare = OthersShare(0, Long.MIN_VALUE)

        fun others(timer: TimerService): Int {
            val seen = others
            return if (seen.requests > 0 && timer.nanoTime() < seen.validUntilNanos) seen.requests else 0
        }
    }

    private data class OwnSample(val atNanos: Long, val own: Int)

    private data class OthersShare(val requests: Int, val validUntilNanos: Long)

    private companion object {
        /** At one poll every 250 ms this covers a report lag of 4 s. */
        const val SAMPLE_COUNT = 16
    }
}
