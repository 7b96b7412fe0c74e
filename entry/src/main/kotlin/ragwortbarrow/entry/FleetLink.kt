package ragwortbarrow.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.allowance.CustomerRateLimiter
import ragwortbarrow.core.fleet.ActivitySummary
import ragwortbarrow.core.fleet.FleetConnector
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.MemberReport
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.RelayPlan
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Exchanges states with other entry nodes: loads and outcomes of backend servers, admitted requests, the newest
 * configuration and list of servers. With whom is [RelayPlan]'s decision. A relay passes on the sum of what the nodes
 * behind it do to the other relays, and the sum of everything to each of these nodes.
 */
class FleetLink(
    val members: FleetMembers,
    val plan: RelayPlan,
    private val connector: FleetConnector,
    private val parts: Parts,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
    private val periodMillis: Long = 100,
) {
    /** What is exchanged. */
    class Parts(
        val board: ServerTracker,
        val ledger: CustomerRateLimiter,
        val configuration: ConfigurationHolder,
        val servers: ServerDirectory,
        val cancelledJobs: EndedJobs,
    )

    /** The last state of a node with which this one exchanges states. */
    private class Heard(val state: NodeState, val atMillis: Long, val exchanges: Int)

    private val heard = HashMap<VmId, Heard>()
    private val calling = HashSet<VmId>()
    private val urgentAfterCall = HashSet<VmId>()
    private val membersToldTick = HashMap<VmId, Long>()
    private val unreachable = HashSet<VmId>()
    private val catchUp = PeerCatchUp(connector, parts, timer, scope, log)
    private var seedAddresses = emptyList<String>()
    private var ticks = 0L
    private var newsTick = 0L

    var isLeaving = false

    /** Called when a node fell silent, left, restarted or came back. */
    var membershipChanged: () -> Unit = {}

    /** Called when a member was silent for so long that it is taken as gone. */
    var memberForgotten: () -> Unit = {}

    /** Called after each period. */
    var refreshed: () -> Unit = {}

    /** Jobs that this node took over from others. */
    var takenOverJobs: () -> List<String> = { emptyList() }

    /** Jobs that this node accepted lately, with their holder. */
    var acceptedJobs: () -> Map<String, JobHolder> = { emptyMap() }

    /** Called with jobs that other nodes accepted and run. */
    var othersAccepted: (Map<String, JobHolder>) -> Unit = {}

    /** Called with jobs that other nodes say they took over. */
    var othersTook: (jobs: List<String>) -> Unit = {}

    /** Called when another node has requests that wait for slots of batch items. */
    var slotsWanted: () -> Unit = {}

    /** Whether the platform's store answers this node. */
    var isStoreReachable: () -> Boolean = { true }

    /** Whether this node has to watch the platform itself. */
    val isWatcher: Boolean
        get() {
            val home = plan.ownRelay()?.let { heard[it.vm] }
            return plan.isWatcher(home?.state?.isStoreReachable ?: true)
        }

    fun start(seedAddresses: List<String>) {
        useSeeds(seedAddresses)
        timer.every(periodMillis) { tick() }
    }

    /** Introduces this node to the ones at [addresses], again until any other node is heard. */
    fun useSeeds(addresses: List<String>) {
        seedAddresses = addresses
        addresses.forEach { contactSeed(it) }
    }

    /** The node at [address] tells of the others. */
    private fun contactSeed(address: String) {
        if (address == members.self.address) return
        val introduction = state(to = null).copy(isRelayed = true)
        scope.launch {
            connector.connect(address).exchange(introduction).fold(
                { received(it) },
                { log.record("seed_not_reached", "address" to address, "reason" to it) },
            )
        }
    }

    /** A peer called with its state; returns this node's own. */
    fun exchanged(state: NodeState): NodeState {
        received(state)
        return state(state.sender.vm)
    }

    /** Tells the others at once that this node leaves. */
    fun announceLeaving() {
        isLeaving = true
        (plan.exchangePeers() + relayedNodes()).forEach { call(it) }
    }

    /** Tells [vm] of the loads now, because a request waits for a slot of a batch item there or behind it. */
    fun pushTo(vm: VmId) {
        val node = members.others().firstOrNull { it.vm == vm } ?: return
        if (vm in calling) urgentAfterCall += vm else call(node, needsBatchSlot = true)
    }

    private fun relayedNodes(): List<FleetNode> = heard.values.filter { it.state.isRelayed }.map { it.state.sender }

    private fun tick() {
        ticks++
        if (ticks % SEEDS_EVERY == 0L && heard.isEmpty()) seedAddresses.forEach { contactSeed(it) }
        val partners = plan.exchangePeers()
        val home = plan.ownRelay()
        for (node in partners) {
            // Bytes between failure domains cost more, and most placements stay within one.
            val every = if (node.failureDomain == members.self.failureDomain) NEAR_EVERY else FAR_EVERY
            if (ticks % every != 0L && members.isReachable(node.vm)) continue
            val isCaller = node == home || members.self.vm.value < node.vm.value
            // The other side calls, but a side that hears nothing tries as well: a cut may be one-way.
            if (isCaller || !isHeard(node.vm)) call(node)
        }
        if (ticks % LOST_EVERY == 0L) plan.nextUnreachable()?.let { call(it) }
        forgetContributions(partners)
        noteSilence()
        members.removeExpired().forEach {
            parts.ledger.removePeer(it.vm)
            log.record("member_forgotten", "vm" to it.vm)
            memberForgotten()
        }
        refreshed()
    }

    private fun isHeard(vm: VmId): Boolean =
        heard[vm]?.let { timer.monotonicMillis() - it.atMillis <= CONTRIBUTION_MILLIS } ?: false

    /**
     * Drops what a node said that fell silent, or that no longer exchanges states with this one. What the requests of a
     * node that may have died used of the rates stays in their window; that of a living one arrives on another way.
     */
    private fun forgetContributions(partners: List<FleetNode>) {
        val exchanging = partners.mapTo(HashSet()) { it.vm }
        val gone = heard.filter { (vm, last) ->
            !isHeard(vm) || !(last.state.isRelayed || vm in exchanging)
        }.keys.toList()
        for (vm in gone) {
            heard.remove(vm)
            membersToldTick.remove(vm)
            parts.board.removePeer(vm)
            if (members.isReachable(vm)) parts.ledger.removePeer(vm)
        }
    }

    private fun call(node: FleetNode, needsBatchSlot: Boolean = false) {
        if (!calling.add(node.vm)) return
        scope.launch {
            try {
                connector.connect(node.address).exchange(state(node.vm).copy(needsBatchSlot = needsBatchSlot)).fold(
                    {
                        plan.recordSuccess(node.vm)
                        received(it)
                    },
                    {
                        plan.recordFailure(node.vm)
                        if (members.isReachable(node.vm)) log.record("exchange_failed", "vm" to node.vm, "reason" to it)
                    },
                )
            } finally {
                calling.remove(node.vm)
                if (urgentAfterCall.remove(node.vm)) call(node, needsBatchSlot = true)
            }
        }
    }

    private fun received(state: NodeState) {
        val vm = state.sender.vm
        if (vm == members.self.vm) return
        var isNews = members.recordContact(state.sender, state.isLeaving)
        if (isNews) {
            log.record(
                "member_heard",
                "vm" to vm,
                "incarnation" to state.sender.incarnation,
                "leaving" to state.isLeaving,
            )
        }
        heard[vm] = Heard(state, timer.monotonicMillis(), (heard[vm]?.exchanges ?: 0) + 1)
        val said = state.activity
        parts.board.updatePeer(vm, said.loads, said.outcomes)
        parts.ledger.updatePeer(vm, said.usage)
        if (state.needsBatchSlot) {
            slotsWanted()
            passOnUrgency(state)
        }
        parts.cancelledJobs.learned(state.cancelledJobs)
        if (said.takenOverJobs.isNotEmpty()) othersTook(said.takenOverJobs)
        if (said.acceptedJobs.isNotEmpty()) othersAccepted(said.acceptedJobs)
        for (report in state.members) {
            if (!members.mergeReport(report)) continue
            isNews = true
            log.record(
                "member_heard",
                "vm" to report.node.vm,
                "incarnation" to report.node.incarnation,
                "leaving" to report.isLeaving,
                "through" to vm,
                "age_ms" to report.ageMillis,
            )
        }
        if (isNews) {
            newsTick = ticks
            unreachable.removeAll { members.isReachable(it) }
            membershipChanged()
        }
        catchUp.heard(state, isWatcher)
    }

    /**
     * A relay tells the node with the most batch items at each server where requests wait. What it heard from another
     * relay it tells only to nodes that it relays, so that no word goes in a circle.
     */
    private fun passOnUrgency(state: NodeState) {
        val crowded = parts.board.all().filter { parts.board.occupancy(it.id).total > it.slots }
        crowded.mapNotNullTo(HashSet()) { parts.board.busiestBatchPeer(it.id) }
            .filter { it != state.sender.vm && (state.isRelayed || heard[it]?.state?.isRelayed == true) }
            .forEach { pushTo(it) }
    }

    private fun noteSilence() {
        for (node in members.others()) {
            if (members.isReachable(node.vm) || !unreachable.add(node.vm)) continue
            log.record(
                "member_silent",
                "vm" to node.vm,
                "members" to members.size,
                "silent" to members.unreachableCount,
            )
            newsTick = ticks
            membershipChanged()
        }
    }

    private fun state(to: VmId?): NodeState {
        val isRelayed = heard[to]?.state?.isRelayed ?: false
        val own = ActivitySummary(
            loads = parts.board.localLoads(),
            outcomes = parts.board.localOutcomes(),
            usage = parts.ledger.usage(),
            takenOverJobs = takenOverJobs(),
            acceptedJobs = acceptedJobs(),
        )
        // To a node that it relays, a relay tells everything; to others, what the nodes behind it do.
        val endToEndHeaders = heard.filter { (vm, last) -> vm != to && (isRelayed || last.state.isRelayed) }
        return NodeState(
            sender = members.self,
            isLeaving = isLeaving,
            configurationVersion = parts.configuration.version,
            serversRevision = parts.servers.revision,
            activity = own + endToEndHeaders.values.map { it.state.activity },
            members = if (tellsMembers(to)) memberReports(to, isRelayed) else emptyList(),
            cancelledJobs = parts.cancelledJobs.recent(),
            isRelayed = to != null && plan.ownRelay()?.vm == to,
            isStoreReachable = isStoreReachable(),
        )
    }

    private fun tellsMembers(to: VmId?): Boolean {
        val last = heard[to]
        if (last == null || last.exchanges <= MEMBERS_FIRST) return true
        val isDue = ticks - (membersToldTick[to] ?: 0) >= MEMBERS_EVERY
        if (isDue) membersToldTick[last.state.sender.vm] = ticks
        return isDue || ticks - newsTick <= NEWS_TICKS
    }

    private fun memberReports(to: VmId?, toRelayed: Boolean): List<MemberReport> {
        val relayed = relayedNodes().mapTo(HashSet()) { it.vm }
        return members.reports().filter { it.node.vm != to && (toRelayed || it.node.vm in relayed) }
    }

    private companion object {
        /** A node that hears nobody calls its seeds again in this many periods. */
        const val SEEDS_EVERY = 10L

        /**
         * Periods between two exchanges within the failure domain. Each exchange takes milliseconds of processor time,
         * and dealt slots need no fresher loads.
         */
        const val NEAR_EVERY = 2L

        /** Periods between two exchanges with another failure domain. */
        const val FAR_EVERY = 4L

        /** A silent member is called once in this many periods. */
        const val LOST_EVERY = 5L

        /** Reports that name the members: the first ones, those after news, and then one in ten periods. */
        const val MEMBERS_FIRST = 3
        const val MEMBERS_EVERY = 10L
        const val NEWS_TICKS = 4L

        /** What a node said counts for this long: three periods of exchange between failure domains. */
        const val CONTRIBUTION_MILLIS = 1_200L
    }
}

/** Serves a snapshot to a peer. */
internal fun FleetLink.Parts.snapshot(kind: SnapshotKind): Result<Snapshot, PeerError> = Ok(
    when (kind) {
        SnapshotKind.CONFIGURATION -> configuration.snapshot
        SnapshotKind.SERVERS -> servers.snapshot
    },
)
