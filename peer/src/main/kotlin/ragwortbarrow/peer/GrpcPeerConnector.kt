package ragwortbarrow.peer

import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerService
import java.util.concurrent.ConcurrentHashMap

/** Connects to other nodes over gRPC, with a deadline on every call. */
class GrpcPeerConnector(
    private val deadlineMillis: Long = 250,
    private val bulkDeadlineMillis: Long = 2_000,
    tls: PeerTls? = null,
) : PeerConnector,
    AutoCloseable {
    private val channels = GrpcChannels(tls)
    private val peers = ConcurrentHashMap<String, GrpcPeer>()

    override fun connect(peerAddress: String): PeerService =
        peers.computeIfAbsent(peerAddress) { GrpcPeer(channels.channel(it), deadlineMillis, bulkDeadlineMillis) }

    /** Closes the channels to addresses not in [peerAddresses]. */
    fun retain(peerAddresses: Set<String>) {
        channels.retain(peerAddresses).forEach { peers.remove(it) }
    }

    override fun close(): Unit = channels.close()
}
