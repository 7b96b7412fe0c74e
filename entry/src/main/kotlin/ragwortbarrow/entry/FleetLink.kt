package ragwortbarrow.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.allowance.AllowanceLedger
import ragwortbarrow.core.fleet.FleetConnector
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.placement.ServerBoard
import ragwortbarrow.core.time.TimerService

/**
 * Exchanges states with the other entry nodes: loads of backend servers, admitted requests, the newest configuration
 * and list of servers. Of two nodes the one with the lower VM id calls, so each pair exchanges once a period.
 */
class FleetLink(
    val members: FleetMembers,
    private val connector: FleetConnector,
    private val parts: Parts,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
    private val periodMillis: Long = 200,
) {
    /** What is exchanged. */
    class Parts(
        val board: ServerBoard,
        val ledger: AllowanceLedger,
        val configuration: ConfigurationHolder,
        val servers: ServerDirectory,
        val endedJobs: EndedJobs,
    )

    private val calling = HashSet<VmId>()
    private val unreachable = HashSet<VmId>()
    private val behindSince = HashMap<SnapshotKind, Long>()
    private var ticks = 0L
    private var report = emptyMap<CustomerId, Int>()

    var isLeaving = false

    /** Called when a node fell silent, left, restarted or came back. */
    var membershipChanged: () -> Unit = {}

    /** Called after each period. */
    var refreshed: () -> Unit = {}

    /** Jobs that this node took over from others. */
    var takenJobs: () -> List<String> = { emptyList() }

    /** Jobs that this node accepted lately. */
    var acceptedJobs: () -> List<String> = { emptyList() }

    /** Called with jobs that another node accepted and runs. */
    var othersAccepted: (jobs: List<String>, node: FleetNode) -> Unit = { _, _ -> }

    /** Called with jobs that another node says it took over. */
    var othersTook: (jobs: List<String>) -> Unit = {}

    /** Called when another node told of its loads. */
    var loadsChanged: () -> Unit = {}

    fun start(seedAddresses: List<String>) {
        seedAddresses.forEach { contactSeed(it) }
        timer.every(periodMillis) { tick() }
    }

    /** Introduces this node to the one at [address], which tells of the others. */
    fun contactSeed(address: String) {
        if (address == members.self.address) return
        scope.launch { connector.connect(address).exchange(state()).fold({ received(it) }, {}) }
    }

    /** A peer called with its state; returns this node's own. */
    fun exchanged(state: NodeState): NodeState {
        received(state)
        return state()
    }

    /** Tells the others at once that this node leaves. */
    fun announceLeaving() {
        isLeaving = true
        members.others().forEach { call(it) }
    }

    /** Tells [vm] of this node's loads now, because it has batch items where an online request has to wait. */
    fun pushTo(vm: VmId) {
        members.reachable().firstOrNull { it.vm == vm }?.let { call(it) }
    }

    private fun tick() {
        ticks++
        report = parts.ledger.report()
        for (node in members.others()) {
            val isCaller = members.self.vm.value < node.vm.value
            // Bytes between failure domains cost more, and most placements stay within one.
            val isNear = node.failureDomain == members.self.failureDomain
            if (!isNear && ticks % FAR_EVERY != 0L && members.isReachable(node.vm)) continue
            // The other side calls, but a side that hears nothing tries as well: a cut may be one-way.
            if (isCaller || !members.isReachable(node.vm)) call(node)
        }
        noteSilence()
        members.forgetLost().forEach {
            parts.ledger.forgetPeer(it.vm)
            log.record("member_forgotten", "vm" to it.vm)
        }
        refreshed()
    }

    private fun call(node: FleetNode) {
        if (!calling.add(node.vm)) return
        scope.launch {
            try {
                connector.connect(node.address).exchange(state()).fold(
                    { received(it) },
                    {
                        if (members.isReachable(node.vm)) log.record("exchange_failed", "vm" to node.vm, "reason" to it)
                    },
                )
            } finally {
                calling.remove(node.vm)
            }
        }
    }

    private fun received(state: NodeState) {
        val vm = state.sender.vm
        if (vm == members.self.vm) return
        val isNews = members.heard(state.sender, state.isLeaving)
        parts.board.peerLoads(vm, state.loads)
        loadsChanged()
        parts.ledger.peerReport(vm, state.admitted)
        parts.endedJobs.learned(state.endedJobs)
        if (state.takenJobs.isNotEmpty()) othersTook(state.takenJobs)
        if (state.acceptedJobs.isNotEmpty()) othersAccepted(state.acceptedJobs, state.sender)
        for (node in state.members) if (members.learned(node)) call(node)
        if (isNews || state.isLeaving) {
            unreachable.remove(vm)
            log.record(
                "member_heard",
                "vm" to vm,
                "incarnation" to state.sender.incarnation,
                "leaving" to state.isLeaving,
            )
            membershipChanged()
        }
        catchUp(SnapshotKind.CONFIGURATION, state, state.configurationVersion > parts.configuration.version)
        catchUp(SnapshotKind.SERVERS, state, state.serversRevision > parts.servers.revision)
    }

    /** Fetches what the platform did not tell this node. The platform's own word is on its way in most cases. */
    private fun catchUp(kind: SnapshotKind, state: NodeState, isBehind: Boolean) {
        val nowNanos = timer.nanoTime()
        if (!isBehind) {
            if (kind == SnapshotKind.CONFIGURATION || state.serversRevision == parts.servers.revision) {
                behindSince.remove(kind)
            }
            return
        }
        val since = behindSince.getOrPut(kind) { nowNanos }
        if (nowNanos - since < PATIENCE_NANOS) return
        behindSince[kind] = nowNanos
        scope.launch {
            connector.connect(state.sender.address).fetchSnapshot(kind).fold(
                { take(kind, it, state.sender.vm) },
                { log.record("snapshot_failed", "kind" to kind, "vm" to state.sender.vm, "reason" to it) },
            )
        }
    }

    private fun take(kind: SnapshotKind, snapshot: Snapshot, from: VmId) = when (kind) {
        SnapshotKind.CONFIGURATION -> parts.configuration.offer(snapshot.document, "peer $from")
        SnapshotKind.SERVERS -> parts.servers.offer(snapshot)
    }

    private fun noteSilence() {
        for (node in members.others()) {
            if (members.isReachable(node.vm) || !unreachable.add(node.vm)) continue
            parts.board.forgetPeer(node.vm)
            log.record("member_silent", "vm" to node.vm, "members" to members.size, "silent" to members.silent)
            membershipChanged()
        }
    }

    private fun state() = NodeState(
        sender = members.self,
        isLeaving = isLeaving,
        configurationVersion = parts.configuration.version,
        serversRevision = parts.servers.revision,
        loads = parts.board.ownLoads(),
        admitted = report,
        members = if (ticks % MEMBERS_EVERY == 0L || ticks < MEMBERS_FIRST) members.others() else emptyList(),
        endedJobs = parts.endedJobs.recent(),
        takenJobs = takenJobs(),
        acceptedJobs = acceptedJobs(),
    )

    private companion object {
        /** Other failure domains are told every second period. */
        const val FAR_EVERY = 2L

        /** Reports that name the members: the first ones, and then one in two seconds. */
        const val MEMBERS_FIRST = 10L
        const val MEMBERS_EVERY = 10L

        /** How long the platform's own watch may be behind a peer before the peer is asked; two periods. */
        const val PATIENCE_NANOS = 400_000_000L
    }
}

/** Serves a snapshot to a peer. */
internal fun FleetLink.Parts.snapshot(kind: SnapshotKind): Result<Snapshot, PeerError> = Ok(
    when (kind) {
        SnapshotKind.CONFIGURATION -> configuration.snapshot
        SnapshotKind.SERVERS -> servers.snapshot
    },
)
