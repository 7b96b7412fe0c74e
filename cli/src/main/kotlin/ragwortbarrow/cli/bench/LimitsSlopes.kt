package ragwortbarrow.cli.bench

import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.limits.LimitService
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.AcquireItem
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.GrantReturn
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.store.InMemoryObjectStore
import java.lang.management.ManagementFactory

/** Cost of a shard's owner at one size. */
data class LimitsSlopeRow(
    val customers: Int,
    val heapBytesPerCustomer: Double,
    val cpuNanosPerAcquire: Double,
    val cpuNanosPerLocalAdmission: Double,
)

/** Measures CPU time and memory of accounts and their owner at each number of [sizes] of customers. */
fun limitsSlopes(sizes: List<Int> = listOf(165, 660, 2_640, 10_560), acquires: Int = 200_000): List<LimitsSlopeRow> {
    // The first pass only warms up the compiler; its row is dropped.
    measure(sizes.first(), acquires)
    return sizes.map { measure(it, acquires) }
}

private fun measure(customerCount: Int, acquires: Int): LimitsSlopeRow {
    val timer = VirtualTimer()
    val customers = List(customerCount) { Customer(CustomerId("customer-$it"), ratePerSecond = 1e5, burst = 1_000) }
    val before = usedHeapBytes()
    val owner = SingleOwner(timer, customers)
    val heapBytes = usedHeapBytes() - before
    val acquireNanos = cpuNanos { owner.acquireAll(customers, acquires) }
    timer.runUntil(timer.nanoTime() + 1_000_000_000)
    val localNanos = cpuNanos { owner.admitAll(customers, acquires) }
    owner.close()
    return LimitsSlopeRow(
        customers = customerCount,
        heapBytesPerCustomer = heapBytes.toDouble() / customerCount,
        cpuNanosPerAcquire = acquireNanos.toDouble() / acquires,
        cpuNanosPerLocalAdmission = localNanos.toDouble() / acquires,
    )
}

private fun usedHeapBytes(): Long {
    repeat(3) { System.gc() }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}

private fun cpuNanos(block: () -> Unit): Long {
    val threads = ManagementFactory.getThreadMXBean()
    val start = threads.currentThreadCpuTime
    block()
    return threads.currentThreadCpuTime - start
}

/** The limits of a fleet of one node, which owns every account. */
private class SingleOwner(private val timer: VirtualTimer, customers: List<Customer>) :
    ConfigurationView,
    MemberView {
    private val domain = FailureDomainId("d0")
    private val shard = LimitShardId(domain, 0)
    private val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
    private var owner: ShardOwner? = null
    override val self = MemberInfo(VmId("vm0"), 1, 0, domain, "", "")
    override val current =
        ConfigurationSnapshot(1, Manifest("bench", Fleet(listOf(FailureDomain(domain))), customers = customers))
    private val service = LimitService(
        self = self,
        timer = timer,
        store = InMemoryObjectStore(),
        connector = { error("a fleet of one node has no peers") },
        members = this,
        configuration = this,
        log = DecisionLog.NONE,
        scope = scope,
    )

    init {
        service.start()
        // Long enough to claim the shard and to fill the accounts.
        timer.runUntil(3_000_000_000)
    }

    fun acquireAll(customers: List<Customer>, count: Int) = runBlocking {
        repeat(count) {
            val items = listOf(AcquireItem(customers[it % customers.size].id, tokens = 1))
            val reply = service.acquire(AcquireRequest(self.vm, shard, items, isLoan = true)).get()
            val granted = reply as AcquireReply.Granted
            val returns = listOf(GrantReturn(granted.grants.single().grantId, unspentTokens = 0))
            service.returnTokens(ReturnRequest(self.vm, shard, granted.fencingNumber, returns))
        }
    }

    fun admitAll(customers: List<Customer>, count: Int) = runBlocking {
        repeat(count) { service.limiter.admit(customers[it % customers.size].id) }
    }

    fun close() = scope.cancel()

    override fun subscribe(listener: (ConfigurationSnapshot) -> Unit) = listener(current)

    override fun live(failureDomain: FailureDomainId?): List<MemberInfo> = listOf(self)

    override fun member(vm: VmId): MemberInfo? = self.takeIf { it.vm == vm }

    override fun ownerOf(shard: LimitShardId): ShardOwner? = owner

    override fun announce(owner: ShardOwner) {
        this.owner = owner
    }

    override fun platformAgeMillis(): Long? = 0

    override fun domainAgeMillis(failureDomain: FailureDomainId): Long? = 0
}
