package ragwortbarrow.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** What arrives at callers that read late, of answers and refusals that were sent in full. */
class AnswerDeliveryTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()

    @Volatile
    private var limits = HttpServerLimits(idleTimeoutMillis = 60_000)
    private val answered = CountDownLatch(1)
    private val handledCount = AtomicInteger()
    private val unanswered = LinkedBlockingQueue<UnansweredRequest>()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val server = HttpServer(loop, scope, { limits }, { unanswered += it }) { _, reply ->
        handledCount.incrementAndGet()
        reply.whole(200, DefaultHttpHeaders(), ByteArray(LARGE_BODY_BYTES))
        answered.countDown()
    }.also { it.bind("127.0.0.1:0") }

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully()
    }

    /** Connects with a receive buffer far smaller than the body of the answers. */
    private fun connected(use: (Socket) -> Unit) = Socket().use {
        it.receiveBufferSize = 16 * 1024
        it.soTimeout = 5_000
        it.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), server.port))
        use(it)
    }

    /** Sends a request and waits until its answer has been passed to the connection. */
    private fun Socket.request() {
        getOutputStream().write("GET / HTTP/1.1\r\nHost: h.example\r\n\r\n".encodeToByteArray())
        answered.await()
    }

    /** Reads the head and body of a response with a length and returns the number of bytes of the body. */
    private fun Socket.readBody(): Int {
        val input = getInputStream()
        var newlines = 0
        while (newlines < 2) {
            when (input.read()) {
                '\n'.code -> newlines++
                '\r'.code -> Unit
                -1 -> return 0
                else -> newlines = 0
            }
        }
        return input.readNBytes(LARGE_BODY_BYTES).size
    }

    @Test
    fun `a caller that reads slower than the idle timeout gets its whole answer`() = connected { socket ->
        limits = HttpServerLimits(idleTimeoutMillis = 400)
        socket.request()
        Thread.sleep(700)
        expectThat(socket.readBody()).isEqualTo(LARGE_BODY_BYTES)
    }

    @Test
    fun `an answer that its caller is still reading is not cut by a stop`() = connected { socket ->
        socket.request()
        Thread.sleep(700)
        loop.submit {
            server.startClosing()
            server.closeIdle()
        }.sync()
        expectThat(socket.readBody()).isEqualTo(LARGE_BODY_BYTES)
    }

    @Test
    fun `a caller that reads nothing of its answer is closed and reported`() = connected { socket ->
        limits = HttpServerLimits(idleTimeoutMillis = 200)
        socket.request()
        expectThat(unanswered.poll(5, TimeUnit.SECONDS)?.reason).isEqualTo(ConnectionCloseReason.IDLE)
    }

    /** Its connection is closed, so nobody would get the answer. */
    @Test
    fun `a request after the last one of a connection is not handled`() = connected { socket ->
        val last = "GET / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"
        socket.getOutputStream().write((last + last).encodeToByteArray())
        answered.await()
        Thread.sleep(300)
        expectThat(handledCount.get()).isEqualTo(1)
        expectThat(socket.readBody()).isEqualTo(LARGE_BODY_BYTES)
    }

    private companion object {
        const val LARGE_BODY_BYTES = 16 * 1024 * 1024
    }
}
