package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.routing.ServerHealth
import ragwortbarrow.core.time.SlidingWindowCounter
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * This node's view of the backend servers: the latest list, its own requests in flight, and the loads and outcomes that
 * other nodes last reported. Confined to one thread.
 */
class ServerTracker(
    private val timer: TimerService,
    private val health: ServerHealth = ServerHealth(timer, maxBackoffMillis = MAX_BACKOFF_MILLIS),
    private val permits: SendPermits = SendPermits.UNLIMITED,
) {
    /** How slow each server is, relative to the others of its service. */
    val speeds = ServerSpeeds(timer)

    private class PeerReport(
        val loads: Map<BackendServerId, Occupancy>,
        val outcomes: Map<BackendServerId, ServerOutcomes>,
        val receivedMillis: Long,
    )

    private class OutcomeCounters {
        val answered = SlidingWindowCounter(OUTCOME_WINDOW_MILLIS)
        val failed = SlidingWindowCounter(OUTCOME_WINDOW_MILLIS)
    }

    private var servers = emptyMap<BackendServerId, BackendServer>()
    private var serversByService = emptyMap<String, List<BackendServer>>()
    private val localOccupancies = HashMap<BackendServerId, Occupancy>()
    private val onlineStartsMillis = HashMap<BackendServerId, ArrayList<Long>>()
    private val peerReports = HashMap<VmId, PeerReport>()
    private var peerOccupancies = emptyMap<BackendServerId, Occupancy>()
    private var peerOutcomes = emptyMap<BackendServerId, ServerOutcomes>()
    private val localOutcomes = HashMap<BackendServerId, OutcomeCounters>()
    private val openResponses = HashMap<BackendServerId, Int>()
    private val lastActivityMillis = HashMap<BackendServerId, Long>()
    private val consecutiveUnanswered = HashMap<BackendServerId, Int>()
    private val blockedUntilMillis = HashMap<BackendServerId, Long>()

    /** The incarnations of servers that said in a response that they leave. */
    private val leavingIncarnations = HashMap<BackendServerId, Long?>()

    /** Failure domains whose servers get no new requests. */
    var evacuatedDomains: Set<FailureDomainId> = emptySet()

    /** Called when a server that was not known to drain says that it leaves. */
    var onLeaving: (BackendServer) -> Unit = {}

    /** Replaces the list of servers. */
    fun replace(list: Collection<BackendServer>) {
        setServers(list.map { if (isLeaving(it)) it.copy(isDraining = true) else it })
        // Without an incarnation, a server that was removed and is listed again counts as a new one.
        leavingIncarnations.entries.removeIf { (server, incarnation) -> incarnation == null && server !in servers }
        health.retainAll(servers.keys)
        blockedUntilMillis.keys.retainAll(servers.keys)
        localOutcomes.keys.retainAll(servers.keys)
        lastActivityMillis.keys.retainAll(servers.keys)
        consecutiveUnanswered.keys.retainAll(servers.keys)
    }

    private fun setServers(list: Collection<BackendServer>) {
        servers = list.associateBy { it.id }
        serversByService = list.groupBy { it.service }
        speeds.replace(list)
    }

    private fun isLeaving(server: BackendServer) =
        server.id in leavingIncarnations && leavingIncarnations[server.id] == server.incarnation

    fun all(): Collection<BackendServer> = servers.values

    /**
     * Records that [server] said in a response that it leaves. It counts as draining until its process has started
     * again, whatever the list of servers says.
     */
    fun recordLeaving(server: BackendServer) {
        leavingIncarnations[server.id] = server.incarnation
        val listed = servers[server.id]?.takeIf { isLeaving(it) && !it.isDraining } ?: return
        val draining = listed.copy(isDraining = true)
        setServers(servers.values.map { if (it.id == draining.id) draining else it })
        onLeaving(draining)
    }

    /** Records that response bytes arrived from [server]. */
    fun recordActivity(server: BackendServerId) {
        lastActivityMillis[server] = timer.monotonicMillis()
        consecutiveUnanswered.remove(server)
    }

    /**
     * Records that a request to [server] was abandoned before its response began. After [UNANSWERED_THRESHOLD] such
     * requests in a row, without any response bytes in between, the server is treated as failed.
     */
    fun recordUnanswered(server: BackendServerId) {
        val count = consecutiveUnanswered.merge(server, 1, Int::plus) ?: 0
        if (count >= UNANSWERED_THRESHOLD) health.recordFailure(server)
    }

    /** Records that a response from [server] began; [recordResponseEnd] follows when it is complete or abandoned. */
    fun recordResponseStart(server: BackendServerId) {
        recordActivity(server)
        openResponses.merge(server, 1, Int::plus)
    }

    fun recordResponseEnd(server: BackendServerId) {
        openResponses.computeIfPresent(server) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /**
     * Whether [server] has sent nothing for [STALL_TIMEOUT_MILLIS] although responses to this node are in progress. A
     * model server sends an event every few tens of milliseconds, so one that stops sending is stuck or unreachable.
     * Requests whose response has not begun don't count: they may be queued behind requests of other nodes.
     */
    fun isStalled(server: BackendServerId): Boolean =
        server in openResponses && timer.monotonicMillis() - (lastActivityMillis[server] ?: 0) > STALL_TIMEOUT_MILLIS

    /** The servers of [service] that may get a new request now, except [excludedServers]. */
    fun eligible(
        service: String,
        excludedServers: Set<BackendServerId> = emptySet(),
        isBatch: Boolean = false,
    ): List<BackendServer> {
        // A server that failed does not become eligible because sound ones take no more requests now.
        return sound(service, excludedServers).filter { permits.waitMillis(it, isSpare = isBatch) == 0.0 }
    }

    /** The servers of [service] that would be eligible if they took more requests now. */
    fun limited(service: String, excludedServers: Set<BackendServerId>): List<BackendServer> =
        sound(service, excludedServers).filter { permits.waitMillis(it, isSpare = false) != 0.0 }

    private fun sound(service: String, excludedServers: Set<BackendServerId>): List<BackendServer> {
        val ofService = serversByService[service] ?: return emptyList()
        val nowMillis = timer.monotonicMillis()
        val candidates = ofService.filter {
            !it.isDraining &&
                !isEvacuated(it) &&
                it.id !in excludedServers &&
                (blockedUntilMillis[it.id] ?: 0) <= nowMillis
        }
        val healthy = candidates.filter { health.isAvailable(it.id) && !isStalled(it.id) }
        return healthy.filter { !isFailing(it.id) }.ifEmpty { healthy }
    }

    /**
     * Whether [server] recently failed a large share of the online requests of all nodes, regardless of its own health
     * report. A single node sends a server too few requests to detect this.
     */
    fun isFailing(server: BackendServerId): Boolean {
        val outcomes = outcomes(server)
        return outcomes.failed >= FAILING_MIN_FAILURES &&
            outcomes.failed >= (outcomes.answered + outcomes.failed) * FAILING_SHARE
    }

    /** The recent outcomes of online requests at [server], from this node and as reported by all others. */
    fun outcomes(server: BackendServerId): ServerOutcomes =
        (localOutcomes[server]?.let { ServerOutcomes(sum(it.answered), sum(it.failed)) } ?: ServerOutcomes()) +
            (peerOutcomes[server] ?: ServerOutcomes())

    /** This node's own part of [outcomes], by server. */
    fun localOutcomes(): Map<BackendServerId, ServerOutcomes> =
        localOutcomes.mapValues { (_, counters) -> ServerOutcomes(sum(counters.answered), sum(counters.failed)) }
            .filterValues { it.answered > 0 || it.failed > 0 }

    /** Records the outcome of an online request that [server] received. */
    fun recordOnlineOutcome(server: BackendServerId, isAnswered: Boolean) {
        val counters = localOutcomes.getOrPut(server) { OutcomeCounters() }
        (if (isAnswered) counters.answered else counters.failed).add(timer.monotonicMillis())
    }

    private fun sum(counter: SlidingWindowCounter) = counter.sum(timer.monotonicMillis())

    private fun isEvacuated(server: BackendServer) = server.failureDomain in evacuatedDomains

    /** All servers of [service] that are neither draining nor evacuated, including those that failed recently. */
    fun nonDraining(service: String): List<BackendServer> =
        serversByService[service].orEmpty().filter { !it.isDraining && !isEvacuated(it) }

    /** Whether a request to [server], which may limit them, takes none away that could be saved up for later. */
    fun hasSparePermit(server: BackendServer): Boolean = permits.waitMillis(server, isSpare = true) == 0.0

    /**
     * The time until this node may send the next online request to [server], which may limit its requests; null if none
     * is foreseen.
     */
    fun permitWaitMillis(server: BackendServer): Double? = permits.waitMillis(server, isSpare = false)

    /** The steady rate at which this node may send requests to [server]; 0 if only other nodes may. */
    fun permitsPerSecond(server: BackendServer): Double = permits.permitsPerSecond(server)

    /** The requests in flight at [server], from this node and as reported by all others. */
    fun occupancy(server: BackendServerId): Occupancy = localOccupancy(server) + (peerOccupancies[server] ?: NONE)

    fun localOccupancy(server: BackendServerId): Occupancy = localOccupancies[server] ?: NONE

    /** This node's own requests in flight, without idle servers. */
    fun localLoads(): Map<BackendServerId, Occupancy> = localOccupancies.filterValues { it.total > 0 }

    /**
     * Counts a request that is expected to queue at [server] for [waitMillis]. Returns the time at which it starts to
     * run, to be passed to [recordEnd].
     */
    fun recordStart(server: BackendServerId, isBatch: Boolean, waitMillis: Double = 0.0): Long {
        servers[server]?.let { permits.recordSend(it) }
        val startMillis = timer.monotonicMillis() + waitMillis.toLong()
        adjustCount(server, isBatch, 1)
        if (!isBatch) onlineStartsMillis.getOrPut(server) { ArrayList() } += startMillis
        return startMillis
    }

    /** Removes a request from the count for which [recordStart] returned [startMillis]. */
    fun recordEnd(server: BackendServerId, isBatch: Boolean, startMillis: Long) {
        adjustCount(server, isBatch, -1)
        if (!isBatch) onlineStartsMillis[server]?.remove(startMillis)
    }

    /** How long each of this node's online requests has run at [server]; negative for those that are queued. */
    fun localOnlineAgesMillis(server: BackendServerId): List<Long> {
        val nowMillis = timer.monotonicMillis()
        return onlineStartsMillis[server].orEmpty().map { nowMillis - it }
    }

    fun recordSuccess(server: BackendServerId) = health.recordSuccess(server)

    fun recordFailure(server: BackendServerId) = health.recordFailure(server)

    /** Claims the one trial request after a failure; also true for a server without failures. */
    fun tryAcquire(server: BackendServerId): Boolean = health.tryAcquire(server)

    /** Sends nothing new to [server] for [millis], because it reported that it is full. */
    fun block(server: BackendServerId, millis: Long) {
        blockedUntilMillis[server] = timer.monotonicMillis() + millis
    }

    /** Replaces the loads and outcomes reported by [peer], which include those of the nodes that it relays. */
    fun updatePeer(
        peer: VmId,
        loads: Map<BackendServerId, Occupancy>,
        outcomes: Map<BackendServerId, ServerOutcomes> = emptyMap(),
    ) {
        peerReports[peer] = PeerReport(loads, outcomes, timer.monotonicMillis())
        recomputePeerTotals()
    }

    /** The peer that, with the nodes that it relays, has the most batch items at [server]; null if none has any. */
    fun busiestBatchPeer(server: BackendServerId): VmId? = peerReports
        .mapValues { (_, report) -> report.loads[server]?.batch ?: 0 }
        .filterValues { it > 0 }
        .maxByOrNull { it.value }?.key

    /** The average time since the reports of the peers arrived; 0 without peers. */
    fun reportAgeMillis(): Double = if (peerReports.isEmpty()) {
        0.0
    } else {
        timer.monotonicMillis() -
            peerReports.values.map { it.receivedMillis }.average()
    }

    fun removePeer(peer: VmId) {
        speeds.removePeer(peer)
        if (peerReports.remove(peer) != null) recomputePeerTotals()
    }

    private fun recomputePeerTotals() {
        val occupancies = HashMap<BackendServerId, Occupancy>()
        val outcomes = HashMap<BackendServerId, ServerOutcomes>()
        for (report in peerReports.values) {
            for ((server, occupancy) in report.loads) occupancies.merge(server, occupancy, Occupancy::plus)
            for ((server, counts) in report.outcomes) outcomes.merge(server, counts, ServerOutcomes::plus)
        }
        peerOccupancies = occupancies
        peerOutcomes = outcomes
    }

    private fun adjustCount(server: BackendServerId, isBatch: Boolean, change: Int) {
        val before = localOccupancies[server] ?: NONE
        val after = if (isBatch) {
            before.copy(batch = before.batch + change)
        } else {
            before.copy(online = before.online + change)
        }
        if (after.total > 0) localOccupancies[server] = after else localOccupancies.remove(server)
    }

    private companion object {
        val NONE = Occupancy()

        /** A server that becomes reachable again after a partition gets requests again within this time. */
        const val MAX_BACKOFF_MILLIS = 2_000L

        /** Many times the interval between two events of a model server that runs all its slots. */
        const val STALL_TIMEOUT_MILLIS = 500L

        /** One or two requests in a row may just have met a short queue. */
        const val UNANSWERED_THRESHOLD = 3

        /** Outcomes count for this long; a server that failed gets requests again afterwards. */
        const val OUTCOME_WINDOW_MILLIS = 10_000L

        /** A server counts as failing from this many failures and this share of failed requests on. */
        const val FAILING_MIN_FAILURES = 3
        const val FAILING_SHARE = 0.2
    }
}
