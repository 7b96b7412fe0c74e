package ragwortbarrow.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.keys.KeyRing
import ragwortbarrow.core.keys.KeySync
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.Model
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreFault
import ragwortbarrow.core.store.StoreFaultInjector
import ragwortbarrow.core.store.StoreOperation
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.monotonicMillis
import java.lang.reflect.Proxy
import kotlin.random.Random

/** Store faults that a test can switch on and off while the fleet runs. */
class SwitchedFaults : StoreFaultInjector {
    var outage = false
    var loseWriteReplies = false

    override suspend fun faultFor(operation: StoreOperation, kind: ObjectKind, name: String): StoreFault = when {
        outage -> StoreFault.Unavailable
        loseWriteReplies && operation == StoreOperation.WRITE -> StoreFault.ReplyLost
        else -> StoreFault.None
    }
}

/** In-process nodes that share a platform and virtual time and are connected in memory. */
@OptIn(ExperimentalCoroutinesApi::class)
class TestFleet(private val test: TestScope) {
    val timer = ManualTimerService()
    val faults = SwitchedFaults()
    val store = InMemoryObjectStore(faults)
    val nodes = mutableListOf<TestNode>()
    val isolated = mutableSetOf<VmId>()
    val scope: CoroutineScope = test.backgroundScope

    fun writer(name: String) = IdempotentWriter(store, timer, name)

    fun publisher(name: String) = ConfigurationPublisher(store, writer(name))

    fun addNode(
        name: String,
        domain: String = "dalton",
        store: ObjectStore = this.store,
        peerCheckMillis: Long = 500,
    ): TestNode =
        TestNode(this, MemberInfo(VmId(name), 1, 1, FailureDomainId(domain), name, name), store, peerCheckMillis).also {
            nodes += it
            it.configuration.start()
            it.keys.start()
        }

    fun remove(node: TestNode) {
        node.configuration.stop()
        node.keys.stop()
        nodes -= node
    }

    /** Advances virtual time by [millis]; nodes gossip key digests once a second. */
    fun run(millis: Long) {
        var left = millis
        while (left > 0) {
            timer.advance(minOf(left, STEP_MILLIS))
            left -= STEP_MILLIS
            test.runCurrent()
            if (left % 1_000 < STEP_MILLIS) gossipDigests()
        }
    }

    /** Whether two nodes can reach each other; an isolated node reaches no other node. */
    fun areConnected(from: TestNode, to: TestNode) = from == to || (from.vm !in isolated && to.vm !in isolated)

    private fun gossipDigests() = nodes.forEach { node ->
        nodes.filter { it != node && areConnected(node, it) }
            .forEach { scope.launch { node.keys.handlePeerDigest(node.peer(it.vm.value), it.keys.keysDigest()) } }
    }

    private companion object {
        const val STEP_MILLIS = 100L
    }
}

class TestNode(val fleet: TestFleet, private val info: MemberInfo, store: ObjectStore, peerCheckMillis: Long) :
    MemberView {
    val vm: VmId = info.vm
    val holder = ConfigurationHolder()
    val ring = KeyRing(this, holder)
    private var platformReadMillis: Long? = null
    private val connector = PeerConnector { address -> peer(address) }
    val configuration = ConfigurationSync(
        store = store,
        holder = holder,
        members = this,
        connector = connector,
        timer = fleet.timer,
        scope = fleet.scope,
        peerCheckMillis = peerCheckMillis,
        random = Random(1),
    )
    val keys = KeySync(
        store = store,
        writer = IdempotentWriter(store, fleet.timer, "$vm/1"),
        ring = ring,
        members = this,
        connector = connector,
        timer = fleet.timer,
        scope = fleet.scope,
        onPlatformConfirmed = ::recordPlatformRead,
        random = Random(2),
    )
    val version get() = holder.status.appliedVersion

    override val self get() = info.copy(configurationVersion = version)

    override fun live(failureDomain: FailureDomainId?): List<MemberInfo> = fleet.nodes
        .filter { fleet.areConnected(this, it) }.map { it.self }
        .filter { failureDomain == null || it.failureDomain == failureDomain }

    override fun member(vm: VmId): MemberInfo? = live().firstOrNull { it.vm == vm }

    override fun ownerOf(shard: LimitShardId): ShardOwner? = null

    override fun announce(owner: ShardOwner) = Unit

    override fun platformAgeMillis(): Long? = fleet.nodes.filter { fleet.areConnected(this, it) }
        .mapNotNull { it.platformReadMillis }.maxOrNull()?.let { fleet.timer.monotonicMillis() - it }

    override fun domainAgeMillis(failureDomain: FailureDomainId): Long? = live(failureDomain).firstOrNull()?.let { 0 }

    private fun recordPlatformRead(askedAtNanos: Long) {
        platformReadMillis = askedAtNanos / NANOS_PER_MILLI
    }

    fun peer(address: String): PeerService {
        val target = fleet.nodes.firstOrNull { it.vm.value == address && fleet.areConnected(this, it) }
        return object : PeerService by unsupportedPeer {
            override suspend fun fetchHead() = respond { target?.configuration?.fetchHead() }

            override suspend fun exchange(message: GossipMessage) = respond {
                val sender = message.members.first().vm.value
                target?.let { it.configuration.handlePeerVersion(it.peer(sender), message.configurationVersion) }
                message
            }

            override suspend fun fetchParts(sha256: List<String>) =
                respond { target?.configuration?.fetchParts(sha256).orEmpty() }

            override suspend fun updateKeys(update: KeyUpdate) = respond { target?.keys?.updateKeys(update) ?: update }

            private fun <T> respond(value: () -> T) =
                if (target == null) Err(PeerError.Unreachable("$address is isolated")) else Ok(value())
        }
    }
}

private val unsupportedPeer = Proxy.newProxyInstance(
    PeerService::class.java.classLoader,
    arrayOf(PeerService::class.java),
) { _, method, _ -> error("${method.name} is not expected here") } as PeerService

/** Creates a manifest with the given numbers of customers and backend servers, of the same shape as a generated one. */
fun manifestOf(customers: Int = 8, servers: Int = 12, domains: List<String> = listOf("dalton")): Manifest = Manifest(
    name = "tuftline",
    fleet = Fleet(domains.map { FailureDomain(FailureDomainId(it)) }),
    models = listOf(Model("blurb")),
    customers = List(customers) { Customer(CustomerId("customer-$it"), ratePerSecond = 5.0 + it, burst = 20 + it) },
    backendServers = List(servers) {
        BackendServer(
            id = BackendServerId("engine-$it"),
            url = "http://10.0.${it / 250}.${it % 250}:8000",
            failureDomain = FailureDomainId(domains[it % domains.size]),
            models = listOf("blurb"),
        )
    },
)
