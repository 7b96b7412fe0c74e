package ragwortbarrow.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/** Connections whose state outlives a response, and responses whose connection carries more bytes than theirs. */
class KeptConnectionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val socket = ServerSocket(0, 8, InetAddress.getLoopbackAddress())

    @AfterEach
    fun close() {
        socket.close()
        group.shutdownGracefully()
    }

    /** Answers the requests with [responses], in order. */
    private fun serve(vararg responses: String) {
        val remaining = ConcurrentLinkedQueue(responses.toList())
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                try {
                    val connection = socket.accept()
                    thread(isDaemon = true) {
                        connection.use {
                            while (it.getInputStream().read(ByteArray(4_096)) > 0) {
                                it.getOutputStream().write(remaining.remove().encodeToByteArray())
                            }
                        }
                    }
                } catch (closed: IOException) {
                    break
                }
            }
        }
    }

    private fun <T> withPool(block: suspend (HttpClientPool) -> T): T = runBlocking {
        withContext(loop.asCoroutineDispatcher()) {
            withTimeout(LIMIT_MILLIS) { block(HttpClientPool(loop)) }
        }
    }

    private suspend fun HttpClientPool.acquire() = acquire("127.0.0.1:${socket.localPort}")

    private fun HttpClientConnection.get() = send(HttpRequestMessage("GET", "/", DefaultHttpHeaders(), ByteArray(0)))

    private suspend fun HttpAnswer.text() = rest(limitBytes = 1_000).decodeToString()

    /** The reader of a stream leaves it at an event that does not follow the one before. */
    @Test
    fun `a request after a response that was not read to its end is answered`() {
        serve(response("x".repeat(UNREAD_BYTES)), response("page"))
        val body = withPool { pool ->
            val first = pool.acquire()
            first.get()
            delay(ARRIVAL_MILLIS)
            pool.release(first)
            pool.acquire().get().text()
        }
        expectThat(body).isEqualTo("page")
    }

    @Test
    fun `a request on a connection that has just been closed fails at once`() {
        serve()
        expectCatching {
            withPool { pool ->
                val connection = pool.acquire()
                connection.close()
                delay(CLOSE_MILLIS)
                connection.get().head()
            }
        }.isFailure().isA<HttpFailure.ConnectFailed>()
    }

    /** A caller got a success whose body ended with the head of another response. */
    @Test
    fun `a body that was cut off is not completed by another response`() {
        val whole = response("x".repeat(CUT_BODY_BYTES))
        serve(whole.dropLast(CUT_BODY_BYTES / 2) + whole)
        expectCatching { withPool { it.acquire().get().text() } }.isFailure().isA<HttpFailure.Broken>()
    }

    @Test
    fun `a body that quotes the head of a response is whole`() {
        val body = response("page")
        serve(response(body))
        expectThat(withPool { it.acquire().get().text() }).isEqualTo(body)
    }

    private companion object {
        const val LIMIT_MILLIS = 5_000L

        /** Time in which a response arrives, or a connection is closed. */
        const val ARRIVAL_MILLIS = 500L
        const val CLOSE_MILLIS = 50L

        /** So much that the connection stops reading when the last byte of the body has arrived. */
        const val UNREAD_BYTES = 256 * 1024
        const val CUT_BODY_BYTES = 200

        fun response(body: String) =
            "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }
}
