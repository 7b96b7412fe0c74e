package ragwortbarrow.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import ragwortbarrow.core.config.ConfigurationHead
import ragwortbarrow.core.config.ConfigurationPart
import ragwortbarrow.core.config.ConfigurationPartRef
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.peer.AcquireItem
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.ConsentReply
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.GrantReturn
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
import ragwortbarrow.core.peer.TokenGrant
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards that every field survives the wire and that a node that is paused, gone or back is seen as such. */
class PeerRoundTripTest {
    private val service = EchoPeer()
    private var server = GrpcPeerServer("127.0.0.1", 0, service).apply { start() }
    private val connector = GrpcPeerConnector()
    private val peer = connector.connect("127.0.0.1:${server.port}")

    @AfterEach
    fun stop() {
        connector.close()
        server.stop()
    }

    @Test
    fun `every field of every message arrives`() = runBlocking<Unit> {
        val shard = LimitShardId(FailureDomainId("dalton"), 3)
        val member = MemberInfo(VmId("vm-1"), 7, 8, FailureDomainId("dalton"), "10.0.0.1:1", "10.0.0.1:2", true, 9)
        val gossip = GossipMessage(
            members = listOf(member),
            shardOwners = listOf(ShardOwner(shard, VmId("vm-1"), 5)),
            configurationVersion = 6,
            keysDigest = "digest",
            platformAgeMillis = -1,
            domainAgesMillis = mapOf(FailureDomainId("calhoun") to 4L),
        )
        expectThat(peer.exchange(gossip).get()).isEqualTo(gossip)
        expectThat(peer.fetchHead().get()).isEqualTo(HEAD)
        expectThat(peer.fetchParts(listOf("a")).get()).isEqualTo(listOf(ConfigurationPart("a", "{}")))
        val keys = KeyUpdate(listOf(KeyGrant(KeyId("k"), CustomerId("c"), "aa")), listOf(KeyId("t")), true)
        expectThat(peer.updateKeys(keys).get()).isEqualTo(keys)
        val acquire = AcquireRequest(VmId("vm-2"), shard, listOf(AcquireItem(CustomerId("c"), 2)), listOf(11L), true)
        expectThat(peer.acquire(acquire).get()).isEqualTo(GRANTED)
        val giveBack = ReturnRequest(VmId("vm-2"), shard, 5, listOf(GrantReturn(11, 1)))
        val promise = PromiseRequest(shard, 5, VmId("vm-1"), 7, 6_000, 9)
        expectThat(peer.returnTokens(giveBack).get()).isEqualTo(Unit)
        expectThat(peer.promise(promise).get()).isEqualTo(PromiseReply(true, "free"))
        val consent = ConsentRequest(shard, 5, VmId("vm-2"))
        expectThat(peer.consent(consent).get()).isEqualTo(ConsentReply(false, 20, "promised"))
        val load = OnlineLoadReport(VmId("vm-1"), 7, 12, mapOf(BackendServerId("e1") to 3))
        expectThat(peer.reportOnlineLoad(load).get()).isEqualTo(Unit)
        expectThat<List<Any>>(service.received).isEqualTo(listOf(acquire, giveBack, promise, consent, load))
    }

    @Test
    fun `a node that answers nothing gives a timeout`() = runBlocking<Unit> {
        expectThat(peer.fetchParts(listOf("a")).get()).isEqualTo(listOf(ConfigurationPart("a", "{}")))
        service.paused = true
        expectThat(peer.fetchHead().getError()).isA<PeerError.TimedOut>()
    }

    @Test
    fun `an error of the service keeps its kind`() = runBlocking<Unit> {
        expectThat(peer.fetchParts(listOf("refuse")).getError()).isA<PeerError.Refused>()
    }

    @Test
    fun `a stopped node is unreachable and a restarted one is reached again`() = runBlocking<Unit> {
        expectThat(peer.fetchHead().get()).isEqualTo(HEAD)
        val port = server.port
        server.stop()
        expectThat(peer.fetchHead().getError()).isA<PeerError.Unreachable>()
        server = GrpcPeerServer("127.0.0.1", port, service).apply { start() }
        // Far below the two minutes that gRPC would wait between connection attempts by itself.
        withTimeout(5_000) { while (peer.fetchHead().get() != HEAD) yield() }
    }

    private class EchoPeer : PeerService {
        @Volatile
        var paused = false
        val received: MutableList<Any> = mutableListOf()

        override suspend fun exchange(message: GossipMessage) = Ok(message)

        override suspend fun fetchHead(): Result<ConfigurationHead?, PeerError> =
            if (paused) awaitCancellation() else Ok(HEAD)

        override suspend fun fetchParts(sha256: List<String>): Result<List<ConfigurationPart>, PeerError> =
            if ("refuse" in sha256) Err(PeerError.Refused("no")) else Ok(sha256.map { ConfigurationPart(it, "{}") })

        override suspend fun updateKeys(update: KeyUpdate) = Ok(update)

        override suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError> =
            Ok(GRANTED).also { received += request }

        override suspend fun returnTokens(request: ReturnRequest) = Ok(Unit).also { received += request }

        override suspend fun promise(request: PromiseRequest) = Ok(PromiseReply(true, "free")).also {
            received += request
        }

        override suspend fun consent(request: ConsentRequest) = Ok(ConsentReply(false, 20, "promised")).also {
            received += request
        }

        override suspend fun reportOnlineLoad(report: OnlineLoadReport) = Ok(Unit).also { received += report }
    }

    private companion object {
        val HEAD = ConfigurationHead(3, listOf(ConfigurationPartRef("fleet", "aa")), "writer")
        val GRANTED = AcquireReply.Granted(5, listOf(TokenGrant(11, CustomerId("c"), 2, 500, 10, 40)))
    }
}
