package ragwortbarrow.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import java.io.IOException
import java.net.InetAddress
import java.net.Socket

/** What callers get of requests that are refused, or that share a connection with one that is. */
class RefusalDeliveryTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()

    @Volatile
    private var limits = HttpServerLimits()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val server = HttpServer(loop, scope, { limits }) { _, reply ->
        delay(HANDLER_MILLIS)
        reply.whole(200, DefaultHttpHeaders(), ByteArray(0))
    }.also { it.bind("127.0.0.1:0") }

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully()
    }

    private fun connected(use: (Socket) -> Unit) = Socket(InetAddress.getLoopbackAddress(), server.port).use {
        it.soTimeout = 5_000
        use(it)
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    private fun Socket.sendHead(bodyBytes: Int) =
        send("POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: $bodyBytes\r\n\r\n")

    /** The status codes of all responses until the connection ends. */
    private fun Socket.statuses(): List<String> = getInputStream().bufferedReader().lineSequence()
        .filter { it.startsWith("HTTP/1.1 ") }
        .map { it.split(' ')[1] }
        .toList()

    @Test
    fun `a refusal by a limit that shrinks while a body arrives reaches its caller`() = connected { socket ->
        limits = HttpServerLimits(maxBodyBytes = BODY_BYTES)
        socket.sendHead(BODY_BYTES)
        socket.getOutputStream().write(ByteArray(BODY_BYTES / 2))
        limits = HttpServerLimits(maxBodyBytes = BODY_BYTES / 4)
        socket.getOutputStream().write(ByteArray(BODY_BYTES / 2))
        expectThat(socket.statuses()).containsExactly("413")
    }

    @Test
    fun `a caller that goes on sending after a refusal is closed`() = connected { socket ->
        limits = HttpServerLimits(maxBodyBytes = 10, headerTimeoutMillis = 300)
        socket.sendHead(Int.MAX_VALUE)
        expectCatching {
            repeat(100) {
                socket.getOutputStream().write(ByteArray(100))
                Thread.sleep(50)
            }
        }.isFailure().isA<IOException>()
    }

    @Test
    fun `bytes that are no request do not cost the request before them its answer`() = connected { socket ->
        socket.send("GET / HTTP/1.1\r\nHost: h.example\r\n\r\nno request\r\n\r\n")
        expectThat(socket.statuses()).containsExactly("200", "400")
    }

    @Test
    fun `all of many requests that are sent at once are answered`() = connected { socket ->
        val request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"
        socket.send(request.repeat(REQUESTS - 1))
        socket.send("GET / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")
        expectThat(socket.statuses().count { it == "200" }).isEqualTo(REQUESTS)
    }

    private companion object {
        const val BODY_BYTES = 8 * 1024 * 1024
        const val HANDLER_MILLIS = 20L
        const val REQUESTS = 40
    }
}
