package ragwortbarrow.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Answers that end with their connection, of servers that did not read the whole request, and odd statuses. */
class EarlyAnswerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val server = ServerSocket(0, 8, InetAddress.getLoopbackAddress())

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully()
    }

    /** Sends [uploadBytes] to a server that runs [respond] after its first read, and returns what the client reads. */
    private fun call(uploadBytes: Int, respond: (Socket) -> Unit): String = runBlocking {
        thread(isDaemon = true) {
            server.accept().use {
                it.getInputStream().read(ByteArray(FIRST_READ_BYTES))
                respond(it)
            }
        }
        val request = HttpRequestMessage("POST", "/", DefaultHttpHeaders(), ByteArray(uploadBytes))
        withTimeout(LIMIT_MILLIS) {
            withContext(loop.asCoroutineDispatcher()) {
                val connection = HttpClientPool(loop).acquire("127.0.0.1:${server.localPort}")
                val answer = connection.send(request)
                val status = answer.head().status().code()
                "$status " + answer.rest(MAX_BODY_BYTES).decodeToString()
            }
        }
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    private fun Socket.reset() {
        setSoLinger(true, 0)
        close()
    }

    @ParameterizedTest
    @CsvSource(
        "10,0", "10,20", "10,200",
        "100000,0", "100000,20", "100000,200",
        "8000000,0", "8000000,20", "8000000,200",
        "30000000,0", "30000000,20", "30000000,200",
    )
    fun `a part of an answer before a reset is no answer`(uploadBytes: Int, waitMillis: Long) {
        repeat(TRIES) {
            expectCatching {
                call(uploadBytes) {
                    it.send("HTTP/1.1 200 OK\r\n\r\npartial")
                    Thread.sleep(waitMillis)
                    it.reset()
                }
            }.isFailure().isA<HttpFailure.Broken>()
        }
    }

    @Test
    fun `an answer that ended before the request was written is a failure`() {
        expectCatching {
            call(LONG_UPLOAD_BYTES) {
                it.send("HTTP/1.1 200 OK\r\n\r\npartial")
                it.shutdownOutput()
                Thread.sleep(HELD_MILLIS)
            }
        }.isFailure().isA<HttpFailure.Broken>()
    }

    @Test
    fun `an answer without a length is complete when its server closes the connection`() {
        val answer = call(uploadBytes = 10) { it.send("HTTP/1.1 200 OK\r\n\r\nwhole") }
        expectThat(answer).isEqualTo("200 whole")
    }

    @Test
    fun `an answer without a length is complete when its server ends only its side`() {
        val answer = call(uploadBytes = 10) {
            it.send("HTTP/1.1 200 OK\r\n\r\nwhole")
            it.shutdownOutput()
            it.getInputStream().read()
        }
        expectThat(answer).isEqualTo("200 whole")
    }

    @Test
    fun `an answer that has no body does not end with its connection`() {
        val answer = call(uploadBytes = 10) {
            it.send("HTTP/1.1 204 No Content\r\n\r\n")
            Thread.sleep(HELD_MILLIS)
        }
        expectThat(answer).isEqualTo("204 ")
    }

    @ParameterizedTest
    @ValueSource(strings = ["000", "0", "099", "600", "999", "1000"])
    fun `an answer with a status that HTTP does not know fails at once`(status: String) {
        expectCatching {
            call(uploadBytes = 10) {
                it.send("HTTP/1.1 $status Odd\r\nContent-Length: 2\r\n\r\nhi")
                Thread.sleep(2 * LIMIT_MILLIS)
            }
        }.isFailure().isA<HttpFailure.Broken>()
    }

    @Test
    fun `an interim answer is passed over`() {
        val answer = call(uploadBytes = 10) {
            it.send("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
        }
        expectThat(answer).isEqualTo("200 whole")
    }

    private companion object {
        const val FIRST_READ_BYTES = 4_096
        const val LONG_UPLOAD_BYTES = 30_000_000
        const val MAX_BODY_BYTES = 1_000_000
        const val TRIES = 3
        const val HELD_MILLIS = 500L
        const val LIMIT_MILLIS = 5_000L
    }
}
