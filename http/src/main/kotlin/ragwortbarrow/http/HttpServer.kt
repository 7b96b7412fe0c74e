package ragwortbarrow.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import kotlinx.coroutines.CoroutineScope
import ragwortbarrow.core.callers.CallerMemory
import java.net.InetSocketAddress

/** Handles one request and responds through [HttpReply]; cancelled when the caller closes the connection. */
typealias HttpHandler = suspend (HttpRequestMessage, HttpReply) -> Unit

/**
 * An HTTP/1.1 server on one address. All connections run on [loop], and [handler] runs in [scope], which must be
 * confined to the same loop. [onUnanswered] is called for each request whose connection ends before its response. With
 * [memory], callers for whom it has no room are refused, and [onRefused] is called.
 */
class HttpServer(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val limits: () -> HttpServerLimits = { HttpServerLimits() },
    private val onUnanswered: (UnansweredRequest) -> Unit = {},
    private val memory: CallerMemory? = null,
    private val onRefused: (CallerRefusal) -> Unit = {},
    private val handler: HttpHandler,
) {
    private val connections = HashSet<HttpServerConnection>()
    private var listener: Channel? = null

    /** Whether responses carry `Connection: close`. */
    var isClosing: Boolean = false
        private set

    /** Number of open connections. */
    val openConnections: Int get() = connections.size

    /** Binds `IP:PORT`. Throws if the address is already in use. */
    fun bind(address: String) {
        listener = ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                AdaptiveRecvByteBufAllocator(SMALLEST_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES),
            )
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val connection =
                        HttpServerConnection(channel, scope, limits, { isClosing }, onUnanswered, onRefused, handler)
                    connections += connection
                    channel.closeFuture().addListener { connections -= connection }
                    connection.addTo(channel.pipeline(), memory)
                }
            })
            .bind(socketAddress(address)).syncUninterruptibly().channel()
    }

    /** The bound port. */
    val port: Int get() = (listener?.localAddress() as InetSocketAddress).port

    /** Releases the address and closes all connections, also those with a request in progress. */
    fun close() {
        listener?.close()?.syncUninterruptibly()
        loop.execute { connections.toList().forEach { it.close(ConnectionCloseReason.SERVER_STOPPED) } }
    }

    /** Adds `Connection: close` to all further responses. Idle connections stay open until [closeIdle]. */
    fun startClosing() {
        isClosing = true
    }

    /**
     * Closes the connections that have had no request in progress for [IDLE_BEFORE_CLOSE_MILLIS]. The request of a
     * connection that was just accepted may be on its way.
     */
    fun closeIdle() {
        connections.filter { it.isIdle && it.idleMillis >= IDLE_BEFORE_CLOSE_MILLIS }
            .forEach { it.close(ConnectionCloseReason.SERVER_STOPPED) }
    }

    internal companion object {
        /** Largest buffer that a connection reads into, of which an undecoded rest keeps the whole. */
        const val MAX_READ_BYTES = 16 * 1024
        private const val FIRST_READ_BYTES = 2 * 1024
        private const val SMALLEST_READ_BYTES = 64

        /** Callers send their request as soon as a connection is established. */
        private const val IDLE_BEFORE_CLOSE_MILLIS = 500L

        private const val BACKLOG = 512
    }
}

/** Size limits of requests, and timeouts of connections. */
data class HttpServerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val idleTimeoutMillis: Long = 60_000,
    val headerTimeoutMillis: Long = 10_000,
)

/** Rejects requests with both Content-Length and Transfer-Encoding, which allow request smuggling. */
internal class StrictRequestDecoder(limits: HttpServerLimits) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxHeaderSize(limits.maxHeaderBytes)
            .setMaxInitialLineLength(limits.maxHeaderBytes),
    ) {
    /** Bytes that were received and not decoded yet. */
    val undecodedBytes: Int get() = actualReadableBytes()

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the request has both Content-Length and Transfer-Encoding")
}
