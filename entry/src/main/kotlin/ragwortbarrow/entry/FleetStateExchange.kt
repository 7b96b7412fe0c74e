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
import ragwortbarrow.core.placement.Evacuations
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.serverlimit.ServerLimits
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Periodically exchanges state with other entry nodes: load and outcomes of backend servers, admitted requests, and the
 * versions of the configuration and of the server list. [RelayPlan] selects the nodes. A relay sends the sum of its
 * nodes' activity to the other relays, and the sum of all activity to each of its nodes.
 */
class FleetStateExchange(
    val members: FleetMembers,
    val plan: RelayPlan,
    private val connector: FleetConnector,
    private val shared: SharedState,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
    private val periodMillis: Long = 100,
) {
    /** State that this node shares with its peers. */
    class SharedState(
        val tracker: ServerTracker,
        val rateLimiter: CustomerRateLimiter,
        val configuration: ConfigurationHolder,
        val servers: ServerDirectory,
        val cancelledJobs: CancelledJobs,
        val quarantine: PromptQuarantine,
        val limits: ServerLimits,
        val evacuations: Evacuations,
    )

    /** The last state received from a node with which this one exchanges states. */
    private class PeerState(val state: NodeState, val atMillis: Long, val exchanges: Int)

    /** The activity of a peer, with the ages of its reports as of now. */
    private fun PeerState.currentActivity(): ActivitySummary = state.activity.aged(timer.monotonicMillis() - atMillis)

    private val peerStates = HashMap<VmId, PeerState>()
    private val exchangesInFlight = HashSet<VmId>()
    private val slotRequestsAfterExchange = HashSet<VmId>()
    private val membersSentTick = HashMap<VmId, Long>()
    private val unreachableMembers = HashSet<VmId>()
    private val snapshotFetcher = PeerSnapshotFetcher(connector, shared, timer, scope, log)
    private var seedAddresses = emptyList<String>()
    private var ticks = 0L
    private var lastChangeTick = 0L

    var isLeaving = false

    /** Called when a node joined, became unreachable, left, restarted or returned. */
    var onMembershipChange: () -> Unit = {}

    /** Called when a member is removed because it has been unreachable for too long. */
    var onMemberRemoved: () -> Unit = {}

    /** Called at the end of each exchange period. */
    var onPeriodEnd: () -> Unit = {}

    /** Supplies the jobs that this node took over from others. */
    var takenOverJobs: () -> List<String> = { emptyList() }

    /** Supplies the jobs that this node accepted recently, with their holder. */
    var recentlyAcceptedJobs: () -> Map<String, JobHolder> = { emptyMap() }

    /** Called with jobs that other nodes accepted and run. */
    var onJobsAccepted: (Map<String, JobHolder>) -> Unit = {}

    /** Called with jobs that other nodes report as taken over. */
    var onJobsTakenOver: (jobs: List<String>) -> Unit = {}

    /** Called when another node has online requests that wait for slots used by batch items. */
    var onSlotsNeeded: () -> Unit = {}

    /** Whether this node can reach the platform's store. */
    var isStoreReachable: () -> Boolean = { true }

    /** Whether this node watches the platform's store itself. */
    val isWatcher: Boolean get() = plan.isWatcher(isStoreReachableFromRelay)

    /** Whether this node watches the backend servers in the platform's store itself. */
    val isServerWatcher: Boolean
        get() = plan.isServerWatcher(isStoreReachableFromRelay) { peerStates[it]?.state?.isStoreReachable ?: true }

    private val isStoreReachableFromRelay: Boolean
        get() = plan.ownRelay()?.let { peerStates[it.vm] }?.state?.isStoreReachable ?: true

    fun start(seedAddresses: List<String>) {
        contactSeeds(seedAddresses)
        timer.every(periodMillis) { tick() }
    }

    /** Exchanges state with the seed nodes at [addresses], and retries until any other node has responded. */
    fun contactSeeds(addresses: List<String>) {
        seedAddresses = addresses
        addresses.forEach { contactSeed(it) }
    }

    /** Sends an introduction to the node at [address], whose response lists the other members. */
    private fun contactSeed(address: String) {
        if (address == members.self.address) return
        val introduction = createState(to = null).copy(isRelayed = true)
        scope.launch {
            connector.connect(address).exchange(introduction).fold(
                { applyState(it) },
                { log.record("seed_not_reached", "address" to address, "reason" to it) },
            )
        }
    }

    /** Applies the [state] sent by a peer and returns this node's state. */
    fun handleExchange(state: NodeState): NodeState {
        applyState(state)
        return createState(state.sender.vm)
    }

    /** Announces immediately that this node leaves. */
    fun announceLeaving() {
        isLeaving = true
        (plan.exchangePeers() + relayedNodes()).forEach { exchangeWith(it) }
    }

    /** Sends state to [vm] at once: a request waits for a slot that it, or a node that it relays, uses for batch. */
    fun requestSlotFrom(vm: VmId) {
        val node = members.others().firstOrNull { it.vm == vm } ?: return
        if (vm in exchangesInFlight) slotRequestsAfterExchange += vm else exchangeWith(node, isUrgent = true)
    }

    private fun relayedNodes(): List<FleetNode> =
        peerStates.values.filter { it.state.isRelayed }.map { it.state.sender }

    private fun tick() {
        ticks++
        if (ticks % SEED_RETRY_PERIODS == 0L && peerStates.isEmpty()) seedAddresses.forEach { contactSeed(it) }
        val peers = plan.exchangePeers()
        val relay = plan.ownRelay()
        val isQuiet = isQuiet()
        for (node in peers) {
            val periods = if (isQuiet) QUIET_PERIODS else busyPeriods(node)
            if (ticks % periods != 0L && members.isReachable(node.vm)) continue
            val isCaller = node == relay || members.self.vm.value < node.vm.value
            // Normally one side calls. The other one calls too if it receives nothing: a partition may be one-way.
            if (isCaller || !isCurrent(node.vm)) exchangeWith(node)
        }
        callLostMembers()
        removeStaleStates(peers)
        detectUnreachableMembers()
        members.removeExpired().forEach {
            shared.rateLimiter.removePeer(it.vm)
            log.record("member_forgotten", "vm" to it.vm)
            onMemberRemoved()
        }
        onPeriodEnd()
    }

    private fun callLostMembers() {
        if (ticks % UNREACHABLE_MEMBER_PERIODS == 0L) plan.nextUnreachable()?.let { exchangeWith(it) }
        if (ticks % FORMER_MEMBER_PERIODS == 0L) plan.nextFormer()?.let { exchangeWith(it) }
    }

    /** Traffic between failure domains costs more, and most requests are placed within one. */
    private fun busyPeriods(node: FleetNode): Long =
        if (node.failureDomain == members.self.failureDomain) NEAR_PERIODS else FAR_PERIODS

    /** Whether no known node has requests at servers, so that loads need not be fresh. */
    private fun isQuiet(): Boolean =
        shared.tracker.localLoads().isEmpty() && peerStates.values.all { it.state.activity.loads.isEmpty() }

    private fun isCurrent(vm: VmId): Boolean =
        peerStates[vm]?.let { timer.monotonicMillis() - it.atMillis <= STATE_TIMEOUT_MILLIS } ?: false

    /**
     * Removes the state of nodes that are unreachable or no longer exchange states with this one. The usage of a node
     * that may have failed stays counted until its window ends; a reachable node's usage arrives by another route.
     */
    private fun removeStaleStates(peers: List<FleetNode>) {
        val exchanging = peers.mapTo(HashSet()) { it.vm }
        val stale = peerStates.filter { (vm, last) ->
            !isCurrent(vm) || !(last.state.isRelayed || vm in exchanging)
        }.keys.toList()
        for (vm in stale) {
            peerStates.remove(vm)
            membersSentTick.remove(vm)
            shared.tracker.removePeer(vm)
            if (members.isReachable(vm)) shared.rateLimiter.removePeer(vm)
        }
    }

    private fun exchangeWith(node: FleetNode, isUrgent: Boolean = false) {
        if (!exchangesInFlight.add(node.vm)) return
        scope.launch {
            try {
                connector.connect(node.address).exchange(createState(node.vm).copy(needsBatchSlot = isUrgent)).fold(
                    {
                        plan.recordSuccess(node.vm)
                        applyState(it)
                    },
                    {
                        plan.recordFailure(node.vm)
                        if (members.isReachable(node.vm)) log.record("exchange_failed", "vm" to node.vm, "reason" to it)
                    },
                )
            } finally {
                exchangesInFlight.remove(node.vm)
                if (slotRequestsAfterExchange.remove(node.vm)) exchangeWith(node, isUrgent = true)
            }
        }
    }

    private fun applyState(state: NodeState) {
        val vm = state.sender.vm
        if (vm == members.self.vm) return
        var isChanged = members.recordContact(state.sender, state.isLeaving)
        if (isChanged) {
            log.record(
                "member_heard",
                "vm" to vm,
                "incarnation" to state.sender.incarnation,
                "leaving" to state.isLeaving,
            )
        }
        peerStates[vm] = PeerState(state, timer.monotonicMillis(), (peerStates[vm]?.exchanges ?: 0) + 1)
        val activity = state.activity
        shared.tracker.updatePeer(vm, activity.loads, activity.outcomes)
        shared.tracker.speeds.updatePeer(vm, activity.timings)
        shared.rateLimiter.updatePeer(vm, activity.usage)
        shared.quarantine.merge(activity.quarantineEvidence)
        shared.limits.merge(activity.serverLimits)
        if (state.needsBatchSlot) {
            onSlotsNeeded()
            forwardSlotRequest(state)
        }
        shared.cancelledJobs.addAll(state.cancelledJobs)
        if (activity.takenOverJobs.isNotEmpty()) onJobsTakenOver(activity.takenOverJobs)
        if (activity.acceptedJobs.isNotEmpty()) onJobsAccepted(activity.acceptedJobs)
        for (report in state.members) {
            if (!members.mergeReport(report)) continue
            isChanged = true
            log.record(
                "member_heard",
                "vm" to report.node.vm,
                "incarnation" to report.node.incarnation,
                "leaving" to report.isLeaving,
                "through" to vm,
                "age_ms" to report.ageMillis,
            )
        }
        if (isChanged) {
            lastChangeTick = ticks
            unreachableMembers.removeAll { members.isReachable(it) }
            onMembershipChange()
        }
        snapshotFetcher.fetchIfBehind(state, isWatcher, isServerWatcher)
    }

    /**
     * Notifies, for each server with waiting requests, the peer with the most batch items there. A request from another
     * relay is forwarded only to nodes that this one relays, so that it does not circulate.
     */
    private fun forwardSlotRequest(state: NodeState) {
        val overloaded = shared.tracker.all().filter { shared.tracker.occupancy(it.id).total > it.slots }
        overloaded.mapNotNullTo(HashSet()) { shared.tracker.busiestBatchPeer(it.id) }
            .filter { it != state.sender.vm && (state.isRelayed || peerStates[it]?.state?.isRelayed == true) }
            .forEach { requestSlotFrom(it) }
    }

    private fun detectUnreachableMembers() {
        for (node in members.others()) {
            if (members.isReachable(node.vm) || !unreachableMembers.add(node.vm)) continue
            log.record(
                "member_silent",
                "vm" to node.vm,
                "members" to members.size,
                "silent" to members.unreachableCount,
            )
            lastChangeTick = ticks
            onMembershipChange()
        }
    }

    private fun createState(to: VmId?): NodeState {
        val isRelayed = peerStates[to]?.state?.isRelayed ?: false
        val own = ActivitySummary(
            loads = shared.tracker.localLoads(),
            outcomes = shared.tracker.localOutcomes(),
            timings = shared.tracker.speeds.localTimings(),
            usage = shared.rateLimiter.usage(),
            takenOverJobs = takenOverJobs(),
            acceptedJobs = recentlyAcceptedJobs(),
            quarantineEvidence = shared.quarantine.evidence(),
            serverLimits = shared.limits.reports(),
        )
        // A relay sends all activity to its own nodes, and only the activity of its nodes to others.
        val relayedStates = peerStates.filter { (vm, last) -> vm != to && (isRelayed || last.state.isRelayed) }
        return NodeState(
            sender = members.self,
            isLeaving = isLeaving,
            configurationVersion = shared.configuration.version,
            serversRevision = shared.servers.revision,
            activity = own + relayedStates.values.map { it.currentActivity() },
            members = if (shouldIncludeMembers(to)) memberReports(to, isRelayed) else emptyList(),
            cancelledJobs = shared.cancelledJobs.recent(),
            isRelayed = to != null && plan.ownRelay()?.vm == to,
            isStoreReachable = isStoreReachable(),
            evacuationsRevision = shared.evacuations.revision,
        )
    }

    private fun shouldIncludeMembers(to: VmId?): Boolean {
        val last = peerStates[to]
        if (last == null || last.exchanges <= INITIAL_MEMBER_LISTS) return true
        val isDue = ticks - (membersSentTick[to] ?: 0) >= MEMBER_LIST_PERIODS
        if (isDue) membersSentTick[last.state.sender.vm] = ticks
        return isDue || ticks - lastChangeTick <= TICKS_AFTER_CHANGE
    }

    private fun memberReports(to: VmId?, toRelayed: Boolean): List<MemberReport> {
        val relayed = relayedNodes().mapTo(HashSet()) { it.vm }
        return members.reports().filter { it.node.vm != to && (toRelayed || it.node.vm in relayed) }
    }

    private companion object {
        /** Periods after which a node that has no partner contacts its seeds again. */
        const val SEED_RETRY_PERIODS = 10L

        /**
         * Periods between two exchanges within the failure domain. An exchange costs milliseconds of processor time,
         * and slots that are assigned to nodes do not need fresher loads.
         */
        const val NEAR_PERIODS = 2L

        /** Periods between two exchanges with another failure domain. */
        const val FAR_PERIODS = 4L

        /** Periods between two exchanges while the fleet is idle; two of them are shorter than the time to silence. */
        const val QUIET_PERIODS = 5L

        /** Periods between two calls to unreachable members. */
        const val UNREACHABLE_MEMBER_PERIODS = 5L

        /** Periods between two calls of a relay to former members, most of which have ended. */
        const val FORMER_MEMBER_PERIODS = 5L

        /** Messages that list the members: the first ones, those after a change, and then one in ten periods. */
        const val INITIAL_MEMBER_LISTS = 3
        const val MEMBER_LIST_PERIODS = 10L
        const val TICKS_AFTER_CHANGE = 4L

        /** Lifetime of a received state: three exchange intervals between failure domains. */
        const val STATE_TIMEOUT_MILLIS = 1_200L
    }
}

/** Returns the snapshot that a peer requested. */
internal fun FleetStateExchange.SharedState.snapshot(kind: SnapshotKind): Result<Snapshot, PeerError> = Ok(
    when (kind) {
        SnapshotKind.CONFIGURATION -> configuration.snapshot
        SnapshotKind.SERVERS -> servers.snapshot
        SnapshotKind.EVACUATIONS -> evacuations.snapshot
    },
)
