package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.routing.ServerHealth
import ragwortbarrow.core.time.SlidingCount
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * What this node knows of the backend servers: the newest list, its own requests in flight, and what the other nodes
 * last said of theirs. Confined to one thread.
 */
class ServerTracker(
    private val timer: TimerService,
    private val health: ServerHealth = ServerHealth(timer, maxBackoffMillis = MAX_PAUSE_MILLIS),
) {
    private class PeerReport(
        val loads: Map<BackendServerId, Occupancy>,
        val outcomes: Map<BackendServerId, ServerOutcomes>,
    )

    private class OwnOutcomes {
        val answered = SlidingCount(OUTCOME_MILLIS)
        val failed = SlidingCount(OUTCOME_MILLIS)
    }

    private var servers = emptyMap<BackendServerId, BackendServer>()
    private var byService = emptyMap<String, List<BackendServer>>()
    private val own = HashMap<BackendServerId, Occupancy>()
    private val onlineStarts = HashMap<BackendServerId, ArrayList<Long>>()
    private val peers = HashMap<VmId, PeerReport>()
    private var peerTotals = emptyMap<BackendServerId, Occupancy>()
    private var peerOutcomes = emptyMap<BackendServerId, ServerOutcomes>()
    private val localOutcomes = HashMap<BackendServerId, OwnOutcomes>()
    private val answering = HashMap<BackendServerId, Int>()
    private val heardMillis = HashMap<BackendServerId, Long>()
    private val unanswered = HashMap<BackendServerId, Int>()
    private val blockedUntilMillis = HashMap<BackendServerId, Long>()

    /** Replaces the list of servers. */
    fun replace(list: Collection<BackendServer>) {
        servers = list.associateBy { it.id }
        byService = list.groupBy { it.service }
        health.retainAll(servers.keys)
        blockedUntilMillis.keys.retainAll(servers.keys)
        localOutcomes.keys.retainAll(servers.keys)
        heardMillis.keys.retainAll(servers.keys)
        unanswered.keys.retainAll(servers.keys)
    }

    fun all(): Collection<BackendServer> = servers.values

    /** Bytes of an answer came from [server]. */
    fun recordActivity(server: BackendServerId) {
        heardMillis[server] = timer.monotonicMillis()
        unanswered.remove(server)
    }

    /**
     * A request left [server] before its answer began. A server from which several requests in a row left, and nothing
     * came meanwhile, is paused like one that failed.
     */
    fun recordUnanswered(server: BackendServerId) {
        val count = unanswered.merge(server, 1, Int::plus) ?: 0
        if (count >= UNANSWERED_COUNT) health.recordFailure(server)
    }

    /** An answer from [server] has begun; [recordResponseEnd] follows when it is complete or given up. */
    fun recordResponseStart(server: BackendServerId) {
        recordActivity(server)
        answering.merge(server, 1, Int::plus)
    }

    fun recordResponseEnd(server: BackendServerId) {
        answering.computeIfPresent(server) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /**
     * Whether [server] has sent nothing for [SILENT_MILLIS] although it has begun to answer requests of this node.
     * Engines send an event every few tens of milliseconds, so one that falls silent is stuck or cut off. Requests
     * whose answers have not begun say nothing: they may queue behind those of other nodes.
     */
    fun isStalled(server: BackendServerId): Boolean =
        server in answering && timer.monotonicMillis() - (heardMillis[server] ?: 0) > SILENT_MILLIS

    /** Servers of [service] that may get a new request, apart from [excludedServers]. */
    fun eligible(service: String, excludedServers: Set<BackendServerId> = emptySet()): List<BackendServer> {
        val ofService = byService[service] ?: return emptyList()
        val nowMillis = timer.monotonicMillis()
        val usable = ofService.filter {
            !it.isDraining && it.id !in excludedServers && (blockedUntilMillis[it.id] ?: 0) <= nowMillis
        }
        val sound = usable.filter { health.isAvailable(it.id) && !isStalled(it.id) }
        return sound.filter { !isFailing(it.id) }.ifEmpty { sound }
    }

    /**
     * Whether [server] failed a large part of the online requests that all nodes sent it lately, whatever it says of
     * its health. One node sends a server too few requests to tell.
     */
    fun isFailing(server: BackendServerId): Boolean {
        val seen = outcomes(server)
        return seen.failed >= FAILING_COUNT && seen.failed >= (seen.answered + seen.failed) * FAILING_SHARE
    }

    /** How [server] ended online requests of the last seconds, of this node and as far as known of all others. */
    fun outcomes(server: BackendServerId): ServerOutcomes =
        (localOutcomes[server]?.let { ServerOutcomes(sum(it.answered), sum(it.failed)) } ?: ServerOutcomes()) +
            (peerOutcomes[server] ?: ServerOutcomes())

    /** This node's own part of [outcomes]. */
    fun localOutcomes(): Map<BackendServerId, ServerOutcomes> =
        localOutcomes.mapValues { (_, seen) -> ServerOutcomes(sum(seen.answered), sum(seen.failed)) }
            .filterValues { it.answered > 0 || it.failed > 0 }

    /** An online request that [server] had received ended there. */
    fun recordOnlineOutcome(server: BackendServerId, isAnswered: Boolean) {
        val seen = localOutcomes.getOrPut(server) { OwnOutcomes() }
        (if (isAnswered) seen.answered else seen.failed).add(timer.monotonicMillis())
    }

    private fun sum(count: SlidingCount) = count.sum(timer.monotonicMillis())

    /** All servers of [service] that are not leaving, also those that failed lately. */
    fun known(service: String): List<BackendServer> = byService[service].orEmpty().filter { !it.isDraining }

    /** Requests at [server], of this node and as far as known of all others. */
    fun occupancy(server: BackendServerId): Occupancy = localOccupancy(server) + (peerTotals[server] ?: NONE)

    fun localOccupancy(server: BackendServerId): Occupancy = own[server] ?: NONE

    /** This node's own requests in flight, without idle servers. */
    fun localLoads(): Map<BackendServerId, Occupancy> = own.filterValues { it.total > 0 }

    /** Counts a request at [server] that queues there for [waitMillis]; returns when it begins to run, for [recordEnd]. */
    fun recordStart(server: BackendServerId, isBatch: Boolean, waitMillis: Double = 0.0): Long {
        val startMillis = timer.monotonicMillis() + waitMillis.toLong()
        count(server, isBatch, 1)
        if (!isBatch) onlineStarts.getOrPut(server) { ArrayList() } += startMillis
        return startMillis
    }

    /** Counts a request as ended for which [recordStart] returned [startMillis]. */
    fun recordEnd(server: BackendServerId, isBatch: Boolean, startMillis: Long) {
        count(server, isBatch, -1)
        if (!isBatch) onlineStarts[server]?.remove(startMillis)
    }

    /** How long this node's online requests have run at [server], in milliseconds; negative for those that queue. */
    fun ownOnlineAges(server: BackendServerId): List<Long> {
        val nowMillis = timer.monotonicMillis()
        return onlineStarts[server].orEmpty().map { nowMillis - it }
    }

    fun recordSuccess(server: BackendServerId) = health.recordSuccess(server)

    fun recordFailure(server: BackendServerId) = health.recordFailure(server)

    /** Claims the one trial request after a failure; true also for a server without failures. */
    fun tryAcquire(server: BackendServerId): Boolean = health.tryAcquire(server)

    /** The server said that it is full; it gets nothing new for [millis]. */
    fun block(server: BackendServerId, millis: Long) {
        blockedUntilMillis[server] = timer.monotonicMillis() + millis
    }

    /** Takes over what [peer], and the nodes behind it, have in flight and saw of the servers. */
    fun updatePeer(
        peer: VmId,
        loads: Map<BackendServerId, Occupancy>,
        outcomes: Map<BackendServerId, ServerOutcomes> = emptyMap(),
    ) {
        peers[peer] = PeerReport(loads, outcomes)
        sumPeers()
    }

    /** The peer with the most batch items at [server], itself or behind it, or null if there are none. */
    fun busiestBatchPeer(server: BackendServerId): VmId? = peers
        .mapValues { (_, report) -> report.loads[server]?.batch ?: 0 }
        .filterValues { it > 0 }
        .maxByOrNull { it.value }?.key

    fun removePeer(peer: VmId) {
        if (peers.remove(peer) != null) sumPeers()
    }

    private fun sumPeers() {
        val totals = HashMap<BackendServerId, Occupancy>()
        val outcomes = HashMap<BackendServerId, ServerOutcomes>()
        for (report in peers.values) {
            for ((server, load) in report.loads) totals.merge(server, load, Occupancy::plus)
            for ((server, seen) in report.outcomes) outcomes.merge(server, seen, ServerOutcomes::plus)
        }
        peerTotals = totals
        peerOutcomes = outcomes
    }

    private fun count(server: BackendServerId, isBatch: Boolean, change: Int) {
        val before = own[server] ?: NONE
        val after = if (isBatch) {
            before.copy(batch = before.batch + change)
        } else {
            before.copy(online = before.online + change)
        }
        if (after.total > 0) own[server] = after else own.remove(server)
    }

    private companion object {
        val NONE = Occupancy()

        /** A server that is back after a partition gets requests again within this time. */
        const val MAX_PAUSE_MILLIS = 2_000L

        /** Many times the pause between two events of an engine that runs all its slots. */
        const val SILENT_MILLIS = 500L

        /** Requests that leave a server in a row until it is paused; one or two may have met a short queue. */
        const val UNANSWERED_COUNT = 3

        /** Outcomes count for this long; a server that failed gets a new chance after it. */
        const val OUTCOME_MILLIS = 10_000L

        /** A server fails when it failed this many requests and this share of them. */
        const val FAILING_COUNT = 3
        const val FAILING_SHARE = 0.2
    }
}
