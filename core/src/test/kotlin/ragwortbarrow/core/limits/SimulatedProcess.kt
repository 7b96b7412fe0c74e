package ragwortbarrow.core.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import ragwortbarrow.core.time.pause

/** A process on a VM, with its own clock rate. It can be frozen, disconnected from the platform, or killed. */
internal class SimulatedProcess(
    val fleet: SimulatedFleet,
    val info: MemberInfo,
    clockSpeed: Double,
    safeguards: Safeguards,
) {
    val timer = ProcessTimer(fleet.timer, clockSpeed)
    val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
    val members = SimulatedMemberView()
    var isPlatformCut = false
    val isAlive: Boolean get() = scope.coroutineContext[Job]?.isActive == true
    val service: LimitService = LimitService(
        self = info,
        timer = timer,
        store = Store(),
        connector = { address -> Peer(fleet.processAt(address)) },
        members = members,
        configuration = Configuration(),
        log = DecisionLog { event, fields -> fleet.log(info, event, fields) },
        scope = scope,
        settings = safeguards.settings,
        standbyState = safeguards.standbyState(info, timer, safeguards.settings),
        bucketFactory = safeguards.bucketFactory,
    )

    fun kill() {
        timer.isFrozen = true
        scope.cancel()
    }

    private suspend fun awaitRunning() = timer.awaitRunning()

    /** Delays actions while the process is frozen, as on a paused VM. */
    class ProcessTimer(private val base: ManualTimerService, private val speed: Double) : TimerService {
        private val delayedActions = ArrayDeque<() -> Unit>()
        var isFrozen = false

        override fun nanoTime(): Long = (base.nanoTime() * speed).toLong()

        override fun wallMillis(): Long = base.wallMillis()

        override fun once(delayMillis: Long, action: () -> Unit): TimerSubscription {
            var cancelled = false
            val run = { if (!cancelled) action() }
            base.once((delayMillis / speed).toLong()) { if (isFrozen) delayedActions += run else run() }
            return TimerSubscription { cancelled = true }
        }

        override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription = error("not used by limits")

        suspend fun awaitRunning() {
            if (!isFrozen) return
            val resumed = CompletableDeferred<Unit>()
            delayedActions += { resumed.complete(Unit) }
            resumed.await()
        }

        fun resume() {
            isFrozen = false
            while (!isFrozen && delayedActions.isNotEmpty()) delayedActions.removeFirst()()
        }
    }

    private inner class Configuration : ConfigurationView {
        override val current: ConfigurationSnapshot get() = fleet.configurationOf(info.vm)

        override fun subscribe(listener: (ConfigurationSnapshot) -> Unit) =
            fleet.subscribe(this@SimulatedProcess, listener)
    }

    /** The members known to this process; [receiveGossip] is called for each arriving gossip message. */
    inner class SimulatedMemberView : MemberView {
        private val receivedMembers = HashMap<VmId, Pair<MemberInfo, Long>>()
        private val owners = HashMap<LimitShardId, ShardOwner>()

        override val self: MemberInfo get() = info

        override fun live(failureDomain: FailureDomainId?): List<MemberInfo> = (
            receivedMembers.values.filter {
                timer.nanoTime() - it.second < 3_000 * NANOS_PER_MILLI
            }.map { it.first } + info
            )
            .filter { failureDomain == null || it.failureDomain == failureDomain }
            .sortedBy { it.vm.value }

        override fun member(vm: VmId): MemberInfo? = if (vm == info.vm) info else receivedMembers[vm]?.first

        override fun ownerOf(shard: LimitShardId): ShardOwner? = owners[shard]

        override fun announce(owner: ShardOwner) {
            if (owner.fencingNumber > (owners[owner.shard]?.fencingNumber ?: 0)) owners[owner.shard] = owner
        }

        override fun platformAgeMillis(): Long? = null

        override fun domainAgeMillis(failureDomain: FailureDomainId): Long? = null

        fun receiveGossip(from: SimulatedProcess) {
            receivedMembers[from.info.vm] = from.info to timer.nanoTime()
            from.members.owners.values.forEach(::announce)
        }
    }

    /** The platform as reached from this process: with delays, lost replies and disconnections. */
    private inner class Store : ObjectStore by fleet.store {
        override suspend fun get(kind: ObjectKind, name: String) = call { fleet.store.get(kind, name) }

        override suspend fun list(
            kind: ObjectKind,
            labels: Map<String, String>,
            limit: Int,
            continueToken: String?,
            metadataOnly: Boolean,
        ) = call { fleet.store.list(kind, labels, limit, continueToken, metadataOnly) }

        override suspend fun create(kind: ObjectKind, name: String, spec: JsonObject, labels: Map<String, String>) =
            call { fleet.store.create(kind, name, spec, labels) }

        override suspend fun update(
            kind: ObjectKind,
            name: String,
            expectedVersion: Long,
            spec: JsonObject,
            labels: Map<String, String>,
        ) = call { fleet.store.update(kind, name, expectedVersion, spec, labels) }

        private suspend fun <T> call(block: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
            awaitRunning()
            if (isPlatformCut) return Err(StoreError.Unavailable("cut off"))
            // A write that was sent takes effect even if its process is killed or frozen before the reply.
            val result = fleet.runDetached {
                fleet.timer.pause(fleet.delayMillis())
                block()
            }
            fleet.timer.pause(fleet.delayMillis())
            awaitRunning()
            if (fleet.isMessageLost()) return Err(StoreError.OutcomeUnknown("reply lost"))
            return result
        }
    }

    /** Another process as reached from this one, with delays and lost messages. */
    private inner class Peer(private val target: SimulatedProcess?) : PeerService by fleet.unusedPeer {
        override suspend fun acquire(request: AcquireRequest) = send {
            fleet.acquireCalls++
            it.acquire(request)
        }

        override suspend fun returnTokens(request: ReturnRequest) = send { it.returnTokens(request) }

        override suspend fun promise(request: PromiseRequest) = send { it.promise(request) }

        override suspend fun consent(request: ConsentRequest) = send { it.consent(request) }

        private suspend fun <T> send(block: suspend (LimitService) -> Result<T, PeerError>): Result<T, PeerError> {
            awaitRunning()
            if (target == null || !target.isAlive) return Err(PeerError.Unreachable("connection refused"))
            passMessage(target)
            val reply = fleet.runDetached {
                target.awaitRunning()
                block(target.service)
            }
            target.awaitRunning()
            passMessage(target)
            awaitRunning()
            return reply
        }

        private suspend fun passMessage(target: SimulatedProcess) {
            fleet.timer.pause(fleet.delayMillis())
            if (fleet.isMessageLost() || fleet.isCut(info, target.info) || !target.isAlive) awaitCancellation()
        }
    }
}
