package ragwortbarrow.cli.bench

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.limits.LimitService
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
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
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.time.NANOS_PER_MILLI
import java.lang.reflect.Proxy

/**
 * A fleet of the real [LimitService] in virtual time. With one failure domain and as many shards as VMs, each customer
 * has one owner over the whole fleet; with several failure domains it has an account in each, which borrow.
 *
 * A lost VM answers nothing. It is suspected 3 s later; news of a shard's owner takes 1 s within a failure domain and
 * 5 s between them, as gossip does.
 */
internal class SimulatedLimits(
    override val name: String,
    private val timer: VirtualTimer,
    customers: List<Customer>,
    vmCount: Int,
    domainCount: Int,
    shardsPerDomain: Int,
    private val oneWayNanos: Long,
) : LimitsPolicy {
    override var messages = 0L
        private set
    private val store = InMemoryObjectStore()
    private val domains = (0 until domainCount).map { FailureDomainId("d$it") }
    private val configuration = FixedConfiguration(
        ConfigurationSnapshot(
            1,
            Manifest(
                "bench",
                Fleet(domains.map { FailureDomain(it, limitShards = shardsPerDomain) }),
                customers = customers,
            ),
        ),
    )
    private val vms = (0 until vmCount).map { Vm(it, domains[it % domainCount]) }

    val platformCalls: Long get() = store.calls

    init {
        vms.forEach { it.service.start() }
    }

    override fun request(vm: Int, customer: Customer, done: (Boolean) -> Unit) {
        vms[vm].scope.launch { done(vms[vm].service.limiter.admit(customer.id).isOk) }
    }

    /** Loses the VM that owns most shards. */
    override fun loseVm(): Int {
        val lost = vms.maxBy { it.service.ownedShards.size }
        lost.lostNanos = timer.nanoTime()
        lost.scope.cancel()
        return lost.index
    }

    fun close(): Unit = vms.forEach { it.scope.cancel() }

    private class FixedConfiguration(override val current: ConfigurationSnapshot) : ConfigurationView {
        override fun subscribe(listener: (ConfigurationSnapshot) -> Unit) = listener(current)
    }

    private inner class Vm(val index: Int, domain: FailureDomainId) : MemberView {
        val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
        override val self = MemberInfo(VmId("vm$index"), 1, 0, domain, "$index", "")
        var lostNanos: Long? = null
        private val owners = HashMap<LimitShardId, ShardOwner>()
        val service = LimitService(
            self = self,
            timer = timer,
            store = store,
            connector = { address -> Peer(vms[address.toInt()]) },
            members = this,
            configuration = configuration,
            log = DecisionLog.NONE,
            scope = scope,
        )

        private fun isSuspected() = lostNanos?.let { timer.nanoTime() - it > SUSPICION_NANOS } ?: false

        override fun live(failureDomain: FailureDomainId?): List<MemberInfo> = vms
            .filter { !it.isSuspected() && (failureDomain == null || it.self.failureDomain == failureDomain) }
            .map { it.self }

        override fun member(vm: VmId): MemberInfo? = vms.firstOrNull { it.self.vm == vm }?.self

        override fun ownerOf(shard: LimitShardId): ShardOwner? = owners[shard]

        override fun announce(owner: ShardOwner) {
            hear(owner)
            for (other in vms) {
                val delayMillis = if (other.self.failureDomain == self.failureDomain) 1_000L else 5_000L
                timer.once(delayMillis) { other.hear(owner) }
            }
        }

        private fun hear(owner: ShardOwner) {
            if (owner.fencingNumber >= (owners[owner.shard]?.fencingNumber ?: 0)) owners[owner.shard] = owner
        }

        override fun platformAgeMillis(): Long? = 0

        override fun domainAgeMillis(failureDomain: FailureDomainId): Long? = 0
    }

    private inner class Peer(private val target: Vm) : PeerService by unused {
        override suspend fun acquire(request: AcquireRequest) = call { it.acquire(request) }

        override suspend fun returnTokens(request: ReturnRequest) = call { it.returnTokens(request) }

        override suspend fun promise(request: PromiseRequest) = call { it.promise(request) }

        override suspend fun consent(request: ConsentRequest) = call { it.consent(request) }

        private suspend fun <T> call(block: suspend (LimitService) -> Result<T, PeerError>): Result<T, PeerError> {
            pass()
            val reply = block(target.service)
            pass()
            return reply
        }

        private suspend fun pass() {
            messages++
            timer.pauseNanos(oneWayNanos)
            if (target.lostNanos != null) awaitCancellation()
        }
    }

    private companion object {
        const val SUSPICION_NANOS = 3_000 * NANOS_PER_MILLI
        val unused = Proxy.newProxyInstance(
            PeerService::class.java.classLoader,
            arrayOf(PeerService::class.java),
        ) { _, method, _ -> Err(PeerError.Refused("${method.name} is not simulated")) } as PeerService
    }
}
