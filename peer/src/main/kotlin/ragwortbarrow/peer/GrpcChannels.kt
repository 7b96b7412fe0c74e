package ragwortbarrow.peer

import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * One gRPC channel for each address of a node. Addresses are IP numbers with a port; neither name resolution, load
 * balancing nor retries of the library are used.
 */
class GrpcChannels(
    private val tls: PeerTls? = null,
    private val group: EventLoopGroup = NioEventLoopGroup(1),
    private val keepAliveSeconds: Long = KEEP_ALIVE_SECONDS,
) : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()
    private val sslContext by lazy { tls?.clientContext() }

    fun channel(peerAddress: String): ManagedChannel = channels.computeIfAbsent(peerAddress) { open(it) }

    /** Closes the channels to addresses that are not in [peerAddresses]; replaced VMs would accumulate otherwise. */
    fun retain(peerAddresses: Set<String>): Set<String> {
        val gone = channels.keys - peerAddresses
        gone.forEach { channels.remove(it)?.shutdown() }
        return gone
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun open(peerAddress: String): ManagedChannel =
        NettyChannelBuilder.forAddress(parsePeerAddress(peerAddress))
            .channelType(NioSocketChannel::class.java)
            .eventLoopGroup(group)
            .directExecutor()
            .disableRetry()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .idleTimeout(IDLE_MINUTES, TimeUnit.MINUTES)
            .keepAliveTime(keepAliveSeconds, TimeUnit.SECONDS)
            .keepAliveTimeout(2, TimeUnit.SECONDS)
            .apply { sslContext?.let { sslContext(it) } ?: usePlaintext() }
            .build()

    private companion object {
        /** Cross-domain gossip meets each of 400 members every half hour; its connections need not stay open. */
        const val IDLE_MINUTES = 2L
    }
}

/** gRPC waits up to two minutes between connection attempts; a restarted node has to be reachable at once. */
internal fun ManagedChannel.reconnectAtOnce() {
    if (getState(false) == ConnectivityState.TRANSIENT_FAILURE) resetConnectBackoff()
}

private fun parsePeerAddress(peerAddress: String): InetSocketAddress {
    val host = peerAddress.substringBeforeLast(':').removeSurrounding("[", "]")
    return InetSocketAddress(host, peerAddress.substringAfterLast(':').toInt())
}
