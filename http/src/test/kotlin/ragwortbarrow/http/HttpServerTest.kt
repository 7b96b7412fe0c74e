package ragwortbarrow.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.awaitCancellation
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class HttpServerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()

    @Volatile
    private var limits = HttpServerLimits(idleTimeoutMillis = 500)

    @Volatile
    private var respond: suspend (HttpReply) -> Unit = { it.whole(200, DefaultHttpHeaders(), ByteArray(0)) }
    private val unanswered = LinkedBlockingQueue<UnansweredRequest>()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val server = HttpServer(loop, scope, { limits }, { unanswered += it }) { _, reply -> respond(reply) }
        .also { it.bind("127.0.0.1:0") }

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully()
    }

    private fun connected(use: (Socket) -> Unit) = Socket(InetAddress.getLoopbackAddress(), server.port).use {
        it.soTimeout = 5_000
        use(it)
    }

    private fun Socket.send() = getOutputStream().write("GET / HTTP/1.1\r\nHost: h.example\r\n\r\n".encodeToByteArray())

    /** Sends a request and returns the status line of its response, or null if the connection was closed. */
    private fun Socket.call(): String? {
        send()
        val reader = getInputStream().bufferedReader()
        return reader.readLine()?.also { while (!reader.readLine().isNullOrEmpty()) Unit }
    }

    private fun nextUnanswered(): UnansweredRequest? = unanswered.poll(5, TimeUnit.SECONDS)

    @Test
    fun `a request without a complete response is reported with the side that closed the connection`() {
        respond = { reply ->
            reply.start(200, DefaultHttpHeaders())
            reply.abort()
        }
        connected { it.call() }
        expectThat(nextUnanswered()) {
            get { this?.reason }.isEqualTo(ConnectionCloseReason.ANSWER_ABANDONED)
            get { this?.isStarted }.isEqualTo(true)
        }
        respond = { awaitCancellation() }
        connected { it.send() }
        expectThat(nextUnanswered()) {
            get { this?.reason }.isEqualTo(ConnectionCloseReason.CALLER)
            get { this?.isStarted }.isEqualTo(false)
        }
    }

    @Test
    fun `a request with a complete response is not reported`() {
        connected { expectThat(it.call()).isEqualTo("HTTP/1.1 200 OK") }
        respond = { awaitCancellation() }
        connected { it.send() }
        expectThat(nextUnanswered()).isNotNull()
        expectThat(unanswered).isEmpty()
    }

    /** Callers keep connections for most of the idle timeout in force, which a new configuration may raise. */
    @Test
    fun `an open connection follows an idle timeout that is raised`() = connected { socket ->
        expectThat(socket.call()).isEqualTo("HTTP/1.1 200 OK")
        limits = HttpServerLimits(idleTimeoutMillis = 5_000)
        Thread.sleep(1_000)
        expectThat(socket.call()).isEqualTo("HTTP/1.1 200 OK")
    }

    @Test
    fun `a connection is closed when its idle timeout has passed`() = connected { socket ->
        expectThat(socket.call()).isEqualTo("HTTP/1.1 200 OK")
        expectThat(socket.getInputStream().bufferedReader().readLine()).isNull()
    }
}
