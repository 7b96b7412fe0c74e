package ragwortbarrow.peer

import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerService
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * Connects to other nodes by gRPC, with one channel for each address and a deadline on every call. Addresses are IP
 * numbers with a port; neither name resolution, load balancing nor retries of the library are used.
 */
class GrpcPeerConnector(
    private val deadlineMillis: Long = 250,
    private val bulkDeadlineMillis: Long = 2_000,
    private val tls: PeerTls? = null,
) : PeerConnector,
    AutoCloseable {
    private val group: EventLoopGroup = NioEventLoopGroup(1)
    private val peers = ConcurrentHashMap<String, GrpcPeer>()
    private val sslContext by lazy { tls?.clientContext() }

    override fun connect(peerAddress: String): PeerService =
        peers.computeIfAbsent(peerAddress) { GrpcPeer(openChannel(it), deadlineMillis, bulkDeadlineMillis) }

    /** Closes the channels to addresses that are not in [peerAddresses]; replaced VMs would accumulate otherwise. */
    fun retain(peerAddresses: Set<String>) {
        (peers.keys - peerAddresses).forEach { peers.remove(it)?.channel?.shutdown() }
    }

    override fun close() {
        peers.values.forEach { it.channel.shutdownNow() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun openChannel(peerAddress: String): ManagedChannel =
        NettyChannelBuilder.forAddress(parsePeerAddress(peerAddress))
            .channelType(NioSocketChannel::class.java)
            .eventLoopGroup(group)
            .directExecutor()
            .disableRetry()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .idleTimeout(IDLE_MINUTES, TimeUnit.MINUTES)
            .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .keepAliveTimeout(2, TimeUnit.SECONDS)
            .apply { sslContext?.let { sslContext(it) } ?: usePlaintext() }
            .build()

    private companion object {
        /** Cross-domain gossip meets each of 400 members every half hour; its connections need not stay open. */
        const val IDLE_MINUTES = 2L
    }
}

private fun parsePeerAddress(peerAddress: String): InetSocketAddress {
    val host = peerAddress.substringBeforeLast(':').removeSurrounding("[", "]")
    return InetSocketAddress(host, peerAddress.substringAfterLast(':').toInt())
}
