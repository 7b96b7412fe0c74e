package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.SlidingWindowCounter
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import kotlin.math.roundToInt

/**
 * How slow each backend server is now, relative to the other servers of its service.
 *
 * Servers of one service differ in speed, and one may turn slow for some seconds. A single node sends a server too few
 * requests to notice in time, so nodes exchange the [ServerTimings] of the last [WINDOW_MILLIS]. Servers that are
 * alike, or of which little is known, count as equally fast. Confined to one thread.
 */
class ServerSpeeds(private val timer: TimerService) {
    private class Counters {
        val events = SlidingWindowCounter(WINDOW_MILLIS)
        val eventMillis = SlidingWindowCounter(WINDOW_MILLIS)
    }

    private class PeerReport(val timings: Map<BackendServerId, ServerTimings>, val receivedMillis: Long)

    private var servers = emptyList<BackendServer>()
    private val counters = HashMap<BackendServerId, Counters>()
    private val peerReports = HashMap<VmId, PeerReport>()
    private var slownessByServer = emptyMap<BackendServerId, Double>()
    private var computedMillis: Long? = null

    /** The number of servers that are slower than others of their service. */
    val slowServers: Int get() = current().values.count { it > 1 }

    /**
     * The time that [server] takes, as a multiple of the average over its service; 1 unless the difference is clear.
     */
    fun slowness(server: BackendServerId): Double = current()[server] ?: 1.0

    /** Records [count] events of [server], which took [millis] in total. */
    fun recordEvents(server: BackendServerId, count: Int, millis: Double) {
        val nowMillis = timer.monotonicMillis()
        val ofServer = counters.getOrPut(server) { Counters() }
        ofServer.events.add(nowMillis, count)
        ofServer.eventMillis.add(nowMillis, millis.roundToInt())
    }

    /** This node's own part of the timings. */
    fun localTimings(): Map<BackendServerId, ServerTimings> {
        val nowMillis = timer.monotonicMillis()
        return counters.mapValues { (_, it) -> ServerTimings(it.events.sum(nowMillis), it.eventMillis.sum(nowMillis)) }
            .filterValues { it.events > 0 }
    }

    /** Replaces the timings reported by [peer], which include those of the nodes that it relays. */
    fun updatePeer(peer: VmId, timings: Map<BackendServerId, ServerTimings>) {
        peerReports[peer] = PeerReport(timings, timer.monotonicMillis())
    }

    fun removePeer(peer: VmId) {
        peerReports.remove(peer)
    }

    internal fun replace(list: Collection<BackendServer>) {
        servers = list.toList()
        counters.keys.retainAll(list.mapTo(HashSet()) { it.id })
        computedMillis = null
    }

    private fun current(): Map<BackendServerId, Double> {
        val nowMillis = timer.monotonicMillis()
        val isOutdated = computedMillis?.let { nowMillis - it >= UPDATE_MILLIS } ?: true
        if (isOutdated) {
            slownessByServer = compute(nowMillis)
            computedMillis = nowMillis
        }
        return slownessByServer
    }

    private fun compute(nowMillis: Long): Map<BackendServerId, Double> {
        // The last report of a peer that is out of reach no longer describes the present.
        peerReports.values.removeIf { nowMillis - it.receivedMillis > WINDOW_MILLIS }
        val timings = HashMap(localTimings())
        for (report in peerReports.values) {
            for ((server, reported) in report.timings) timings.merge(server, reported, ServerTimings::plus)
        }
        return servers.groupBy { it.service }.values.flatMap { slowness(it, timings) }.toMap()
    }

    private fun slowness(
        ofService: List<BackendServer>,
        timings: Map<BackendServerId, ServerTimings>,
    ): List<Pair<BackendServerId, Double>> {
        val known = ofService.mapNotNull { server -> timings[server.id]?.let { server.id to it } }
        val total = known.fold(ServerTimings()) { sum, (_, ofServer) -> sum + ofServer }
        if (total.events == 0) return emptyList()
        val meanMillis = total.eventMillis.toDouble() / total.events
        val priorMillis = PRIOR_MILLIS + PRIOR_EVENTS * meanMillis
        return known.map { (server, ofServer) ->
            val expectedMillis = ofServer.events * meanMillis
            val ratio = (ofServer.eventMillis + priorMillis) / (expectedMillis + priorMillis)
            server to if (ratio in ALIKE) 1.0 else ratio.coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
        }
    }

    private companion object {
        /** A server that turned slow is noticed, and one that recovered is found again, within this time. */
        const val WINDOW_MILLIS = 4_000L

        /** The least time between two computations; peers report about as often. */
        const val UPDATE_MILLIS = 100L

        /** A server counts as average until its events took clearly longer than this, and than [PRIOR_EVENTS]. */
        const val PRIOR_MILLIS = 1_000.0
        const val PRIOR_EVENTS = 8

        /** Ratios to the average that short disturbances of a server cause. */
        val ALIKE = 0.8..1.25

        const val MIN_SLOWNESS = 0.25
        const val MAX_SLOWNESS = 8.0
    }
}
