package ragwortbarrow.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CoroutineScope
import java.net.InetSocketAddress

/** Answers one request through its [HttpReply]; it is cancelled when the caller closes the connection. */
typealias HttpHandler = suspend (HttpRequestMessage, HttpReply) -> Unit

/**
 * An HTTP/1.1 server on one address. All connections run on [loop], and the handler runs in [scope], which must be
 * confined to the same loop.
 */
class HttpServer(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val limits: () -> HttpServerLimits = { HttpServerLimits() },
    private val handler: HttpHandler,
) {
    private val connections = HashSet<HttpServerConnection>()
    private var listener: Channel? = null

    /** Whether answers tell callers to close their connections. */
    var isClosing: Boolean = false
        private set

    /** Connections that are open now. */
    val openConnections: Int get() = connections.size

    /** Binds `IP:PORT`; throws if the address is taken. */
    fun bind(address: String) {
        listener = ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val connection = HttpServerConnection(channel, scope, limits(), { isClosing }, handler)
                    connections += connection
                    channel.closeFuture().addListener { connections -= connection }
                    channel.pipeline().addLast(StrictRequestDecoder(limits()), HttpResponseEncoder(), connection)
                }
            })
            .bind(socketAddress(address)).syncUninterruptibly().channel()
    }

    /** The bound port. */
    val port: Int get() = (listener?.localAddress() as InetSocketAddress).port

    /** Tells callers with each answer to close; connections without a request are closed by [closeIdle]. */
    fun startClosing() {
        isClosing = true
    }

    /** Closes the connections that carry no request. */
    fun closeIdle() {
        connections.filter { it.isIdle }.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 512
    }
}

/** What a caller may send, and how long a connection may stay idle. */
data class HttpServerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val idleTimeoutMillis: Long = 60_000,
    val headerTimeoutMillis: Long = 10_000,
)

/** Refuses a request that states its length in two ways, because two readers could see different requests in it. */
private class StrictRequestDecoder(limits: HttpServerLimits) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxHeaderSize(limits.maxHeaderBytes)
            .setMaxInitialLineLength(limits.maxHeaderBytes),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("a request has both a length and a transfer encoding")
}
