package ragwortbarrow.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Servers that send bytes without end, before the head of a response or in its body, or that stall within it. */
class FaultyResponseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val sockets = ArrayList<ServerSocket>()
    private val sentBytes = AtomicLong()

    /** Opens when a client closes its connection to a server that stalls. */
    private val stalledIsClosed = CountDownLatch(1)

    @AfterEach
    fun close() {
        sockets.forEach { it.close() }
        group.shutdownGracefully()
    }

    /** Starts a server that answers the first request on each connection with [first] and then repeats [endless]. */
    private fun serve(first: String, endless: String): String =
        serve { sendUntilClosed(it.getOutputStream(), first, endless) }

    /** Starts a server that answers the first request on each connection with [respond]. */
    private fun serve(respond: (Socket) -> Unit): String {
        val socket = ServerSocket(0, 8, InetAddress.getLoopbackAddress()).also { sockets += it }
        thread(isDaemon = true) {
            while (true) {
                val connection = try {
                    socket.accept()
                } catch (closed: IOException) {
                    break
                }
                thread(isDaemon = true) {
                    connection.use {
                        it.getInputStream().read(ByteArray(4_096))
                        respond(it)
                    }
                }
            }
        }
        return "127.0.0.1:${socket.localPort}"
    }

    private fun sendUntilClosed(output: OutputStream, first: String, endless: String) {
        val block = endless.repeat(BLOCK_BYTES / endless.length + 1).encodeToByteArray()
        try {
            output.write(first.encodeToByteArray())
            while (true) {
                output.write(block)
                sentBytes.addAndGet(block.size.toLong())
            }
        } catch (closed: IOException) {
            // The client has closed the connection, as it should.
        }
    }

    /** Starts a server that sends [bodyBytes] bytes of a longer body and no more. */
    private fun serveStalled(bodyBytes: Int): String = serve {
        it.getOutputStream().write(responseStart(2 * bodyBytes, bodyBytes))
        // The client has no more to send, so this returns when it closes the connection.
        try {
            it.getInputStream().read()
        } catch (reset: IOException) {
            // Closed with bytes that were not read.
        }
        stalledIsClosed.countDown()
    }

    /** Starts a server that sends the last byte of a body after the connection to the stalled server was closed. */
    private fun serveAfterStalled(bodyBytes: Int): String = serve {
        it.getOutputStream().write(responseStart(bodyBytes, bodyBytes - 1))
        if (stalledIsClosed.await(LIMIT_MILLIS, TimeUnit.MILLISECONDS)) it.getOutputStream().write('x'.code)
    }

    private fun responseStart(bodyBytes: Int, sentBytes: Int): ByteArray =
        "HTTP/1.1 200 OK\r\nContent-Length: $bodyBytes\r\n\r\n".plus("x".repeat(sentBytes)).encodeToByteArray()

    private fun <T> call(
        address: String,
        isExpected: (HttpResponse) -> Boolean = { true },
        read: suspend (HttpAnswer) -> T,
    ): T = runBlocking {
        withContext(loop.asCoroutineDispatcher()) {
            withTimeout(LIMIT_MILLIS) {
                val connection = HttpClientPool(loop).acquire(address)
                val request = HttpRequestMessage("GET", "/", DefaultHttpHeaders(), ByteArray(0))
                try {
                    read(connection.send(request, isExpected = isExpected))
                } finally {
                    connection.close()
                }
            }
        }
    }

    private fun expectBroken(first: String, endless: String, isExpected: (HttpResponse) -> Boolean = { true }) {
        val address = serve(first, endless)
        expectCatching { call(address, isExpected) { it.head() } }.isFailure().isA<HttpFailure.Broken>()
    }

    @Test
    fun `a head without end fails the request`() {
        expectBroken("HTTP/1.1 200 OK\r\n", "X-Filler: 1\r\n")
    }

    @Test
    fun `blank lines without end before the head fail the request`() {
        expectBroken("", "\r\n")
    }

    @Test
    fun `interim responses without end fail the request`() {
        expectBroken("", "HTTP/1.1 102 Processing\r\n\r\n")
    }

    @Test
    fun `a response to another request that has no end fails the request`() {
        expectBroken("HTTP/1.1 200 OK\r\n\r\n", "x", isExpected = { false })
    }

    @Test
    fun `a body without end fails at the limit of its reader`() {
        val address = serve("HTTP/1.1 200 OK\r\n\r\n", "x")
        expectCatching { call(address) { it.rest(limitBytes = 1_000_000) } }.isFailure().isA<HttpFailure.Broken>()
    }

    /**
     * Guards against a process that ends for lack of memory: each body stays below the limit of its reader, all together
     * do not.
     */
    @Test
    fun `bodies without end on many connections share a limit`() {
        val address = serve("HTTP/1.1 200 OK\r\n\r\n", "x")
        val sizes = readBodies(List(8) { address }, maxBodyBytes = 4_000_000)
        expectThat(sizes).all { isNull() }
        expectThat(sentBytes.get()).isLessThan(8 * SOCKET_BUFFERS_BYTES)
    }

    /**
     * Reads one body from each of [addresses] at the same time, or with [pauseMillis] between the first one and the
     * others; returns their sizes, null for those that fail.
     */
    private fun readBodies(addresses: List<String>, maxBodyBytes: Long, pauseMillis: Long = 0) = runBlocking {
        withContext(loop.asCoroutineDispatcher()) {
            val pool = HttpClientPool(loop, maxBodyBytes = maxBodyBytes)
            val request = HttpRequestMessage("GET", "/", DefaultHttpHeaders(), ByteArray(0))
            val connections = addresses.map { pool.acquire(it) }
            val reads = connections.mapIndexed { index, connection ->
                if (index == 1) delay(pauseMillis)
                async { sizeOrNull(connection.send(request)) }
            }
            withTimeout(LIMIT_MILLIS) { reads.awaitAll() }.also { connections.forEach { it.close() } }
        }
    }

    private suspend fun sizeOrNull(answer: HttpAnswer): Int? = try {
        answer.rest(limitBytes = 100_000_000).size
    } catch (broken: HttpFailure.Broken) {
        // A server that closes its connection may have crashed on the request; these do not.
        expectThat(broken).not().isA<HttpFailure.Disconnected>()
        null
    }

    @Test
    fun `a sound body is read while another one without end takes too much memory`() {
        val endless = serve("HTTP/1.1 200 OK\r\n\r\n", "x")
        val sound = serve("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "x")
        val sizes = readBodies(listOf(endless, endless, sound), maxBodyBytes = 1_000_000)
        expectThat(sizes).containsExactly(null, null, 100_000)
    }

    /** Guards against bodies that together take more memory than the limit while the largest one waits for its server. */
    @Test
    fun `a large body that stalls fails when smaller ones grow past the limit together`() {
        // The smaller ones alone stay below the limit, so that it is passed only when the stalled body is the largest.
        val addresses = listOf(serveStalled(600_000)) + List(3) { serveAfterStalled(200_000) }
        val sizes = readBodies(addresses, maxBodyBytes = 800_000, pauseMillis = 200)
        expectThat(sizes).containsExactly(null, 200_000, 200_000, 200_000)
    }

    /** A caller on a slow link takes the events of a stream more slowly than its server sends them. */
    @Test
    fun `a body that is not read stops the server instead of filling the memory`() {
        val address = serve("HTTP/1.1 200 OK\r\n\r\n", "x")
        expectCatching {
            call(address) {
                it.head()
                delay(LIMIT_MILLIS * 2)
            }
        }.isFailure().isA<TimeoutCancellationException>()
        expectThat(sentBytes.get()).isLessThan(SOCKET_BUFFERS_BYTES)
    }

    @Test
    fun `a body is read whole although its reader pauses the server`() {
        val length = 3_000_000
        val address = serve("HTTP/1.1 200 OK\r\nContent-Length: $length\r\n\r\n", "x")
        val size = call(address) { answer ->
            var size = 0
            while (true) size += (answer.next() ?: break).size.also { delay(1) }
            size
        }
        expectThat(size).isEqualTo(length)
    }

    private companion object {
        const val LIMIT_MILLIS = 5_000L
        const val BLOCK_BYTES = 16_384

        /** What the operating system may buffer for a connection; a server sends far more in five seconds. */
        const val SOCKET_BUFFERS_BYTES = 32_000_000L
    }
}
