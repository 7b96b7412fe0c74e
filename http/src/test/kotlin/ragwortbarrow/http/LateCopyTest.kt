package ragwortbarrow.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.Semaphore
import kotlin.concurrent.thread

/** A server that answers a request with a success and sends the beginning of that answer once more. */
class LateCopyTest {
    /** When the beginning of the copy is sent. */
    enum class CopyTime { WITH_THE_ANSWER, WHILE_IDLE, AFTER_THE_NEXT_REQUEST }

    private data class Outcome(val status: Int, val body: String)

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val socket = ServerSocket(0, 8, InetAddress.getLoopbackAddress())

    /** The bytes of the copy that are sent. */
    @Volatile private var copy = ""

    @Volatile private var time = CopyTime.WITH_THE_ANSWER

    /** Released when the first answer has been read, so that a copy finds the connection idle. */
    private val answerRead = Semaphore(0)
    private val copySent = Channel<Unit>(Channel.UNLIMITED)

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                val connection = try {
                    socket.accept()
                } catch (closed: SocketException) {
                    break
                }
                thread(isDaemon = true) { serve(connection) }
            }
        }
    }

    @AfterEach
    fun close() {
        socket.close()
        group.shutdownGracefully()
    }

    private fun serve(connection: Socket) = connection.use {
        it.tcpNoDelay = true
        try {
            serveRequests(it.getInputStream(), it.getOutputStream())
        } catch (closed: SocketException) {
            // The client has closed the connection.
        }
    }

    private fun serveRequests(input: InputStream, output: OutputStream) {
        var isCopyDue = false
        while (true) {
            val path = readPath(input) ?: return
            if (isCopyDue) output.send(copy)
            isCopyDue = path == FIRST && time == CopyTime.AFTER_THE_NEXT_REQUEST
            when {
                path == SECOND -> output.send(FAILURE)
                time == CopyTime.WITH_THE_ANSWER -> output.send(SUCCESS + copy)
                else -> output.send(SUCCESS)
            }
            if (path == FIRST && time == CopyTime.WHILE_IDLE) {
                answerRead.acquire()
                output.send(copy)
                copySent.trySend(Unit)
            }
        }
    }

    private fun OutputStream.send(text: String) = write(text.encodeToByteArray())

    private fun readPath(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().takeIf { it >= 0 }?.toChar() ?: return null)
        return head.split(' ')[1]
    }

    /** Returns null if the request fails or has no response in time. */
    private suspend fun HttpClientPool.call(path: String): Outcome? {
        val connection = acquire("127.0.0.1:${socket.localPort}")
        val request = HttpRequestMessage("GET", path, DefaultHttpHeaders(), ByteArray(0))
        return try {
            val answer = connection.send(request) { it.headers().get("X-Request-Id") == path }
            withTimeoutOrNull(LIMIT_MILLIS) {
                Outcome(answer.head().status().code(), answer.rest(limitBytes = 1_000).decodeToString())
            }
        } catch (failure: HttpFailure.Broken) {
            null
        } finally {
            release(connection)
        }
    }

    /** The outcome of the second request for each length of the copy that is not the server's answer to it. */
    private fun wrongOutcomes(lengths: IntRange): Map<String, Outcome> = runBlocking {
        withContext(loop.asCoroutineDispatcher()) {
            val wrong = LinkedHashMap<String, Outcome>()
            for (length in lengths) {
                copy = SUCCESS.take(length)
                val pool = HttpClientPool(loop)
                expectThat(pool.call(FIRST)).isEqualTo(Outcome(200, "page"))
                if (time == CopyTime.WHILE_IDLE) {
                    answerRead.release()
                    copySent.receive()
                    // The event loop reads what has arrived before it runs what is due.
                    delay(PAUSE_MILLIS)
                }
                val outcome = pool.call(SECOND)
                if (outcome != null && outcome != Outcome(500, "fault")) wrong[copy] = outcome
                // A copy that arrives before the next request is sent costs that request nothing.
                if (time != CopyTime.AFTER_THE_NEXT_REQUEST) expectThat(outcome).isNotEqualTo(null)
                pool.retain(emptySet())
            }
            wrong
        }
    }

    /** A caller got status 200 with the id, stamp and body of a failure. */
    @ParameterizedTest
    @EnumSource(CopyTime::class)
    fun `a late copy that is cut off does not change the status of the next response`(time: CopyTime) {
        this.time = time
        expectThat(wrongOutcomes(1..SUCCESS.length)).isEmpty()
    }

    private companion object {
        const val FIRST = "/first"
        const val SECOND = "/second"
        const val SUCCESS = "HTTP/1.1 200 All is well\r\nX-Server-Stamp: stamp-1\r\nX-Request-Id: $FIRST\r\n" +
            "Content-Length: 4\r\n\r\npage"
        const val FAILURE = "HTTP/1.1 500 Server Error\r\nX-Server-Stamp: stamp-2\r\nX-Request-Id: $SECOND\r\n" +
            "Content-Length: 5\r\n\r\nfault"
        const val PAUSE_MILLIS = 10L
        const val LIMIT_MILLIS = 2_000L
    }
}
