package ragwortbarrow.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponseDecoder
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * Client connections by address, the most recently used first. Everything runs on [loop]. A kept connection is used
 * again only well within the time for which its server keeps it.
 */
class HttpClientPool(
    private val loop: EventLoop,
    private val connectTimeoutMillis: Int = 200,
    private val opened: (address: String) -> Unit = {},
) {
    private val idle = HashMap<String, ArrayDeque<HttpClientConnection>>()

    /**
     * A connection to [address]. One that was kept is taken only if it has been idle for less than [keptShare] of the
     * time for which its server keeps it. Throws [HttpFailure.ConnectFailed].
     */
    suspend fun acquire(address: String, keptShare: Double = KEPT_SHARE): HttpClientConnection {
        val kept = idle[address]
        while (!kept.isNullOrEmpty()) {
            val connection = kept.removeLast()
            val idleMillis = (System.nanoTime() - connection.idleSinceNanos) / 1_000_000
            if (connection.isReusable && idleMillis < connection.keepAliveMillis * keptShare) return connection
            connection.close()
        }
        return connect(address)
    }

    /** Keeps [connection] for later requests, or closes it if it cannot carry another one. */
    fun release(connection: HttpClientConnection) {
        if (!connection.isReusable) {
            connection.close()
            return
        }
        connection.idleSinceNanos = System.nanoTime()
        val kept = idle.getOrPut(connection.address) { ArrayDeque() }
        if (kept.size >= MAX_IDLE_PER_ADDRESS) kept.removeFirst().close()
        kept.addLast(connection)
    }

    /** Closes the kept connections to addresses outside [addresses]. */
    fun retain(addresses: Set<String>) {
        val gone = idle.keys.filter { it !in addresses }
        for (address in gone) idle.remove(address)?.forEach { it.close() }
    }

    /** Closes the kept connections to [address], for example after one of them fell silent. */
    fun drop(address: String) {
        idle.remove(address)?.forEach { it.close() }
    }

    private suspend fun connect(address: String): HttpClientConnection = suspendCancellableCoroutine { continuation ->
        var connection: HttpClientConnection? = null
        val bootstrap = Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_PROBE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_PROBE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val created = HttpClientConnection(channel, address)
                    connection = created
                    channel.pipeline().addLast(HttpRequestEncoder(), HttpResponseDecoder(), created.Handler())
                }
            })
        val connecting = bootstrap.connect(socketAddress(address))
        connecting.addListener {
            val created = connection
            when {
                !it.isSuccess || created == null ->
                    continuation.resumeWithException(HttpFailure.ConnectFailed("$address: ${it.cause()?.message}"))
                continuation.isActive -> {
                    opened(address)
                    continuation.resume(created)
                }
                else -> created.close()
            }
        }
        continuation.invokeOnCancellation { connecting.channel().close() }
    }

    companion object {
        /** The share of a server's keep-alive time within which a kept connection is used again. */
        const val KEPT_SHARE = 0.8

        /** Connections kept for one address; each counts towards the server's limit of connections. */
        private const val MAX_IDLE_PER_ADDRESS = 16

        /** Seconds of silence after which TCP probes a connection, and between probes. */
        private const val KEEP_ALIVE_PROBE_SECONDS = 1

        /** Unanswered probes after which TCP resets a connection. */
        private const val KEEP_ALIVE_PROBES = 3
    }
}

/** The socket address of `IP:PORT`; no name is looked up. */
fun socketAddress(address: String): InetSocketAddress =
    InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
