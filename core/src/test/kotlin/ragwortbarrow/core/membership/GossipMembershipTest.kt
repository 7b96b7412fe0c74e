package ragwortbarrow.core.membership

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.junit.jupiter.api.Test
import ragwortbarrow.core.config.ConfigurationPart
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.ConsentReply
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.peer.PromiseReply
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.get
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

/** Tests which members count as live; routing, rate limits and batch jobs choose their peers among them. */
class GossipMembershipTest {
    private val timer = ManualTimerService()
    private val fleet = mutableMapOf<String, GossipMembership>()
    private val cut = mutableSetOf<Pair<String, String>>()
    private val seedNodes = mutableListOf<SeedNode>()
    private val sent = mutableListOf<GossipMessage>()

    @Test
    fun `nodes that know a common seed node discover all members`() {
        seedNodes += SeedNode(VmId("a1"), FailureDomainId("a"), "a1:1")
        startNine()
        timer.advance(20_000)
        expectThat(fleet.values.map { it.live().size }).all { isEqualTo(9) }
        expectThat(node("a1").live(FailureDomainId("b")).map { it.vm.value }).containsExactly("b1", "b2", "b3")
    }

    @Test
    fun `an unreachable member of the own failure domain is suspected after three seconds`() {
        startJoinedNine()
        kill("a2")
        timer.advance(2_000)
        timer.advance(5_000)
        expectThat(node("a1").live(FailureDomainId("a")).map { it.vm.value }).containsExactly("a1", "a3")
        expectThat(node("a1").member(VmId("a2"))).isNotNull()
        timer.advance(20_000)
        expectThat(node("c1").live().map { it.vm.value }.contains("a2")).isFalse()
        timer.advance(600_000)
        expectThat(node("a1").member(VmId("a2"))).isNull()
    }

    @Test
    fun `a restarted member replaces its old entry although its heartbeat restarts`() {
        startJoinedNine()
        kill("b1")
        start("b1", incarnation = 2)
        timer.advance(10_000)
        expectThat(fleet.values.map { it.member(VmId("b1"))?.incarnation }).all { isEqualTo(2L) }
        val stale = MemberInfo(VmId("b1"), 1, 9_999, FailureDomainId("b"), "old:1", "old:2")
        node("a1").exchange(GossipMessage(listOf(node("a2").self, stale)))
        expectThat(node("a1").member(VmId("b1"))?.peerAddress).isEqualTo("b1:1")
    }

    @Test
    fun `a partitioned failure domain sees the contact ages of the others grow and rejoins after the partition`() {
        startJoinedNine()
        val inside = listOf("a1", "a2", "a3")
        val outside = fleet.keys.map { it.removeSuffix(":1") } - inside.toSet()
        inside.forEach { i -> outside.forEach { o -> cut += listOf(i to o, o to i) } }
        timer.advance(700_000)
        expectThat(node("a1").live().map { it.vm.value }).containsExactly("a1", "a2", "a3")
        expectThat(node("a1").domainAgeMillis(FailureDomainId("b"))).isNotNull().isGreaterThan(600_000)
        expectThat(node("a1").domainAgeMillis(FailureDomainId("a"))).isEqualTo(0L)
        cut.clear()
        timer.advance(30_000)
        expectThat(fleet.values.map { it.live().size }).all { isEqualTo(9) }
        expectThat(node("a1").domainAgeMillis(FailureDomainId("b"))).isNotNull().isLessThan(9_000)
    }

    @Test
    fun `a listed VM without a node is never live, and a node missing from the list is`() {
        seedNodes += SeedNode(VmId("gone"), FailureDomainId("a"), "gone:1")
        startJoinedNine()
        expectThat(node("a1").live()).hasSize(9)
        expectThat(node("a1").member(VmId("gone"))).isNull()
    }

    @Test
    fun `all nodes accept the owner with the higher fencing number`() {
        startJoinedNine()
        val shard = LimitShardId(FailureDomainId("a"), 0)
        node("a1").announce(ShardOwner(shard, VmId("a1"), 4))
        node("c1").announce(ShardOwner(shard, VmId("a2"), 5))
        timer.advance(20_000)
        expectThat(fleet.values.map { it.ownerOf(shard)?.owner }).all { isEqualTo(VmId("a2")) }
    }

    @Test
    fun `the leaving flag and the age of the platform reach every node`() {
        startJoinedNine()
        node("a1").leave()
        node("b1").recordPlatformContact()
        timer.advance(10_000)
        expectThat(fleet.values.map { it.member(VmId("a1"))?.leaving }).all { isEqualTo(true) }
        expectThat(fleet.values.map { it.platformAgeMillis() }).all { isEqualTo(10_000L) }
    }

    @Test
    fun `the contact ages in a received call are ignored because the call may have been delayed`() {
        start("a1")
        val peer = MemberInfo(VmId("b1"), 1, 1, FailureDomainId("b"), "b1:1", "b1:2")
        node("a1").exchange(GossipMessage(listOf(peer), platformAgeMillis = 0))
        expectThat(node("a1").platformAgeMillis()).isNull()
        expectThat(node("a1").domainAgeMillis(FailureDomainId("b"))).isNull()
    }

    @Test
    fun `a message has at most 64 entries regardless of the number of members`() {
        val domains = listOf("a", "b", "c")
        repeat(150) { index -> start("${domains[index % 3]}$index") }
        seedNodes += SeedNode(VmId("a0"), FailureDomainId("a"), "a0:1")
        timer.advance(30_000)
        expectThat(sent.maxOf { it.members.size }).isLessThanOrEqualTo(64)
        expectThat(fleet.values.map { node -> node.live(node.self.failureDomain).size }).all { isEqualTo(50) }
        expectThat(sent.last().members).get(0).get { failureDomain.value.isNotEmpty() }.isTrue()
    }

    private fun node(vm: String): GossipMembership = checkNotNull(fleet["$vm:1"])

    private fun startNine() = listOf("a", "b", "c").forEach { domain -> (1..3).forEach { start("$domain$it") } }

    private fun startJoinedNine() {
        seedNodes += SeedNode(VmId("a1"), FailureDomainId("a"), "a1:1")
        startNine()
        timer.advance(20_000)
    }

    private fun start(vm: String, incarnation: Long = 1) {
        val address = "$vm:1"
        val info = MemberInfo(VmId(vm), incarnation, 0, FailureDomainId(vm.take(1)), address, "$vm:2")
        val members = GossipMembership(
            self = info,
            timer = timer,
            connector = { to -> MemoryPeer(address, to) },
            scope = CoroutineScope(Dispatchers.Unconfined),
            seedNodes = { seedNodes.toList() },
            random = Random(vm.hashCode()),
        )
        fleet[address] = members
        members.start()
    }

    private fun kill(vm: String) {
        fleet.remove("$vm:1")?.stop()
    }

    private inner class MemoryPeer(private val from: String, private val to: String) : PeerService {
        override suspend fun exchange(message: GossipMessage): Result<GossipMessage, PeerError> {
            val link = from.removeSuffix(":1") to to.removeSuffix(":1")
            val peer = fleet[to].takeUnless { link in cut }
                ?: return Err(PeerError.Unreachable(to))
            sent += message
            return Ok(peer.exchange(message))
        }

        override suspend fun fetchHead() = Ok(null)

        override suspend fun fetchParts(sha256: List<String>) = Ok(emptyList<ConfigurationPart>())

        override suspend fun updateKeys(update: KeyUpdate) = Ok(update)

        override suspend fun acquire(request: AcquireRequest) = Ok(AcquireReply.NotOwner(null))

        override suspend fun returnTokens(request: ReturnRequest) = Ok(Unit)

        override suspend fun promise(request: PromiseRequest) = Ok(PromiseReply(false))

        override suspend fun consent(request: ConsentRequest) = Ok(ConsentReply(false))

        override suspend fun reportOnlineLoad(report: OnlineLoadReport) = Ok(Unit)
    }
}
