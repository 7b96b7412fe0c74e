package ragwortbarrow.cli.bench

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.membership.GossipMembership
import ragwortbarrow.core.membership.SeedNode
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.peer.toCore
import ragwortbarrow.peer.toWire
import ragwortbarrow.peer.v1.Gossip
import java.lang.management.ManagementFactory
import java.lang.reflect.Proxy
import kotlin.random.Random

/**
 * What gossip costs a node of a fleet of [nodes]. Bytes are those of the encoded messages that a node sends, without
 * the framing of HTTP/2 and TCP. CPU time covers both sides of the exchange with encoding and decoding.
 */
data class GossipSlope(
    val nodes: Int,
    val bytesPerSecondPerNode: Double,
    val cpuMicrosPerSecondPerNode: Double,
    /** Share of pairs of a node and a live member that the node wrongly suspected, sampled once a second. */
    val wronglySuspectedShare: Double,
    /** 99th percentile, over nodes and seconds, of the age of the platform contact that watchers renew every 2 s. */
    val platformAgeP99Millis: Long,
)

/** Runs the gossip of whole fleets in virtual time and measures it, one row for each size. */
fun gossipSlopes(sizes: List<Int> = listOf(9, 100, 410)): List<GossipSlope> = sizes.map { size ->
    GossipFleet(size, failureDomains = if (size < 100) 3 else 9).measure()
}

private class GossipFleet(private val size: Int, private val failureDomains: Int) {
    private val timer = ManualTimerService()
    private val scope = CoroutineScope(Dispatchers.Unconfined)
    private val threads = ManagementFactory.getThreadMXBean()
    private val seedNodes = infos().map { SeedNode(it.vm, it.failureDomain, it.peerAddress) }
    private val fleet: Map<String, GossipMembership> = infos().associate { it.peerAddress to members(it) }
    private var sentBytes = 0L

    fun measure(warmupSeconds: Int = 120, seconds: Int = 30): GossipSlope {
        var phase = 0L
        fleet.values.forEach { node ->
            // Nodes start at different instants, so their timers do not fire together.
            timer.once(phase++ * 1_000 / size) { node.start() }
        }
        watchPlatform()
        timer.advance(warmupSeconds * 1_000L)
        sentBytes = 0
        var cpuNanos = 0L
        var suspected = 0L
        val ages = mutableListOf<Long>()
        repeat(seconds) {
            val before = threads.currentThreadCpuTime
            timer.advance(1_000)
            cpuNanos += threads.currentThreadCpuTime - before
            suspected += fleet.values.sumOf { size - it.live().size }
            fleet.values.mapTo(ages) { it.platformAgeMillis() ?: Long.MAX_VALUE }
        }
        return GossipSlope(
            nodes = size,
            bytesPerSecondPerNode = sentBytes.toDouble() / seconds / size,
            cpuMicrosPerSecondPerNode = cpuNanos / 1_000.0 / seconds / size,
            wronglySuspectedShare = suspected.toDouble() / seconds / size / size,
            platformAgeP99Millis = ages.sorted()[ages.size * 99 / 100],
        )
    }

    /** Two nodes of each failure domain hear from the platform every 2 s, as the watchers do. */
    private fun watchPlatform() {
        val watchers = fleet.values.groupBy { it.self.failureDomain }.values.flatMap { it.take(2) }
        watchers.forEachIndexed { index, node ->
            timer.once(index * 100L) { timer.every(2_000) { node.recordPlatformContact() } }
            node.announce(ShardOwner(LimitShardId(node.self.failureDomain, index), node.self.vm, 1))
        }
    }

    private fun infos(): List<MemberInfo> = List(size) { index ->
        MemberInfo(
            vm = VmId("vm-%05d".format(index)),
            incarnation = 1_796_000_000_000 + index,
            heartbeat = 0,
            failureDomain = FailureDomainId("domain-${index % failureDomains}"),
            peerAddress = "10.0.${index / 250}.${index % 250}:8081",
            httpAddress = "10.0.${index / 250}.${index % 250}:8080",
        )
    }

    private fun members(info: MemberInfo) = GossipMembership(
        self = info,
        timer = timer,
        connector = ::CountingPeer,
        scope = scope,
        seedNodes = { seedNodes },
        configurationVersion = { 9_500 },
        keysDigest = { KEYS_DIGEST },
        random = Random(info.vm.hashCode()),
    )

    /** Encodes and decodes each message as the gRPC adapter does. */
    private inner class CountingPeer(private val address: String) : PeerService by NO_OTHER_CALLS {
        override suspend fun exchange(message: GossipMessage): Result<GossipMessage, PeerError> =
            Ok(sent(checkNotNull(fleet[address]).exchange(sent(message))))

        private fun sent(message: GossipMessage): GossipMessage {
            val bytes = message.toWire().toByteArray()
            sentBytes += bytes.size
            return Gossip.parseFrom(bytes).toCore()
        }
    }

    private companion object {
        val KEYS_DIGEST = "a".repeat(64)

        val NO_OTHER_CALLS = Proxy.newProxyInstance(
            PeerService::class.java.classLoader,
            arrayOf(PeerService::class.java),
        ) { _, method, _ -> error("gossip does not call ${method.name}") } as PeerService
    }
}
