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
 * Pool with one gRPC channel per node address. Addresses are IP addresses with a port; gRPC's name resolution, load
 * balancing and retries are not used.
 */
class GrpcChannels(
    private val tls: PeerTls? = null,
    private val group: EventLoopGroup = NioEventLoopGroup(1),
    private val keepAliveSeconds: Long = KEEP_ALIVE_SECONDS,
) : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()
    private val sslContext by lazy { tls?.clientContext() }

    fun channel(peerAddress: String): ManagedChannel = channels.computeIfAbsent(peerAddress) { createChannel(it) }

    /** Closes the channels to addresses not in [peerAddresses], so that channels to replaced VMs do not accumulate. */
    fun retain(peerAddresses: Set<String>): Set<String> {
        val removed = channels.keys - peerAddresses
        removed.forEach { channels.remove(it)?.shutdown() }
        return removed
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun createChannel(peerAddress: String): ManagedChannel =
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
        /** Cross-domain gossip contacts each of 400 members every half hour, so its connections need not stay open. */
        const val IDLE_MINUTES = 2L
    }
}

/** Reconnects immediately, because gRPC waits up to two minutes between attempts to reach a restarted node. */
internal fun ManagedChannel.skipReconnectBackoff() {
    if (getState(false) == ConnectivityState.TRANSIENT_FAILURE) resetConnectBackoff()
}

private fun parsePeerAddress(peerAddress: String): InetSocketAddress {
    val host = peerAddress.substringBeforeLast(':').removeSurrounding("[", "]")
    return InetSocketAddress(host, peerAddress.substringAfterLast(':').toInt())
}
