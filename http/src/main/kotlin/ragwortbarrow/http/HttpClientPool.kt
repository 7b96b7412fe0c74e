package ragwortbarrow.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.util.NetUtil
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * Pools client connections by address and reuses the most recently used one first. Must be used only on [loop]. An idle
 * connection is reused only well before its server's keep-alive timeout, since the server may close it at that time.
 * Bodies that are read whole take up to [maxBodyBytes] of memory together. [onConnect] is called for each new
 * connection, [onStrayBytes] for bytes of a server that belong to no request.
 */
class HttpClientPool(
    private val loop: EventLoop,
    private val connectTimeoutMillis: Int = 200,
    maxBodyBytes: Long = Runtime.getRuntime().maxMemory() / BODY_SHARE_OF_HEAP,
    private val onStrayBytes: (StrayBytes) -> Unit = {},
    private val onConnect: (address: String) -> Unit = {},
) {
    private val memory = BodyMemory(maxBodyBytes)
    private val idle = HashMap<String, ArrayDeque<HttpClientConnection>>()

    /**
     * Returns a pooled or new connection to [address]. A pooled connection is reused only if it has been idle for less
     * than [keptShare] of its server's keep-alive timeout. Throws [HttpFailure.ConnectFailed].
     */
    suspend fun acquire(address: String, keptShare: Double = KEPT_SHARE): HttpClientConnection {
        val idleConnections = idle[address]
        while (!idleConnections.isNullOrEmpty()) {
            val connection = idleConnections.removeLast()
            val idleMillis = (System.nanoTime() - connection.idleSinceNanos) / 1_000_000
            if (connection.isReusable && idleMillis < connection.keepAliveMillis * keptShare) return connection
            connection.close()
        }
        return connect(address)
    }

    /** Returns [connection] to the pool, or closes it if it is not reusable. */
    fun release(connection: HttpClientConnection) {
        if (!connection.isReusable) {
            connection.close()
            return
        }
        connection.idleSinceNanos = System.nanoTime()
        val idleConnections = idle.getOrPut(connection.address) { ArrayDeque() }
        if (idleConnections.size >= MAX_IDLE_PER_ADDRESS) idleConnections.removeFirst().close()
        idleConnections.addLast(connection)
    }

    /** Closes the idle connections to all addresses except [addresses]. */
    fun retain(addresses: Set<String>) {
        val removedAddresses = idle.keys.filter { it !in addresses }
        for (address in removedAddresses) idle.remove(address)?.forEach { it.close() }
    }

    /** Closes the idle connections to [address], for example after one of them stalled. */
    fun drop(address: String) {
        idle.remove(address)?.forEach { it.close() }
    }

    private suspend fun connect(address: String): HttpClientConnection = suspendCancellableCoroutine { continuation ->
        val socketAddress = socketAddressOrNull(address)
        if (socketAddress == null) {
            continuation.resumeWithException(HttpFailure.ConnectFailed("'$address' is not IP:PORT"))
            return@suspendCancellableCoroutine
        }
        var connection: HttpClientConnection? = null
        val bootstrap = Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            .option(ChannelOption.TCP_NODELAY, true)
            // Without it a channel closes in the same way after the server's end, a reset and a failed write.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_PROBE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_PROBE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val created = HttpClientConnection(channel, address, memory, onStrayBytes)
                    connection = created
                    channel.pipeline().addLast(
                        created.HeadSizeLimiter(),
                        HttpRequestEncoder(),
                        created.decoder,
                        created.Handler(),
                    )
                }
            })
        val connectFuture = bootstrap.connect(socketAddress)
        connectFuture.addListener {
            val created = connection
            when {
                !it.isSuccess || created == null ->
                    continuation.resumeWithException(connectFailure(address, it.cause()))
                continuation.isActive -> {
                    onConnect(address)
                    continuation.resume(created)
                }
                else -> created.close()
            }
        }
        continuation.invokeOnCancellation { connectFuture.channel().close() }
    }

    private fun connectFailure(address: String, cause: Throwable?): HttpFailure.ConnectFailed {
        // Netty's timeout is a ConnectException too.
        val isRefused = cause is ConnectException && cause !is ConnectTimeoutException
        return HttpFailure.ConnectFailed("$address: ${cause?.message}", isRefused)
    }

    companion object {
        /** The fraction of a server's keep-alive timeout within which an idle connection is reused. */
        const val KEPT_SHARE = 0.8

        /** A body takes its size twice for a moment, when it is complete. */
        private const val BODY_SHARE_OF_HEAP = 8

        /** Maximum idle connections per address; each one counts towards the connection limit of its server. */
        private const val MAX_IDLE_PER_ADDRESS = 16

        /** Idle time before the first TCP keep-alive probe, and the interval between probes. */
        private const val KEEP_ALIVE_PROBE_SECONDS = 1

        /** Unacknowledged keep-alive probes after which TCP resets a connection. */
        private const val KEEP_ALIVE_PROBES = 3
    }
}

/** Parses `IP:PORT`. The host must be an IP address, so that no DNS lookup blocks the event loop. */
fun socketAddress(address: String): InetSocketAddress =
    requireNotNull(parseSocketAddress(address, LOWEST_BOUND_PORT)) { "'$address' is not IP:PORT" }

/** Parses the `IP:PORT` of another process; null if [address] is none that can be called. */
fun socketAddressOrNull(address: String): InetSocketAddress? = parseSocketAddress(address, LOWEST_CALLED_PORT)

private fun parseSocketAddress(address: String, lowestPort: Int): InetSocketAddress? {
    val host = NetUtil.createInetAddressFromIpAddressString(address.substringBeforeLast(':', ""))
    val port = address.substringAfterLast(':').toIntOrNull()?.takeIf { it in lowestPort..HIGHEST_PORT }
    return if (host == null || port == null) null else InetSocketAddress(host, port)
}

/** Port 0 stands for any free one when a server is bound, and is never called. */
private const val LOWEST_BOUND_PORT = 0
private const val LOWEST_CALLED_PORT = 1
private const val HIGHEST_PORT = 65_535
