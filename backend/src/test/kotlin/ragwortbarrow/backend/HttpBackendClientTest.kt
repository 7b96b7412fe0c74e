package ragwortbarrow.backend

import com.github.michaelbull.result.get
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.HttpHeader
import ragwortbarrow.core.backend.StreamEvent
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.standins.engine.EngineServer
import ragwortbarrow.standins.engine.EngineSettings
import ragwortbarrow.standins.faults.ServerFaults
import ragwortbarrow.standins.service.PlainServiceServer
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import strikt.assertions.last
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/**
 * Tests the outcome of attempts. A wrong [AttemptOutcome.NotRun] would violate at-most-once execution, and a wrong
 * [AttemptOutcome.Answered] would return a response of another request to a caller.
 */
class HttpBackendClientTest {
    private val engine = EngineServer(EngineSettings(firstTokenMillis = 2.0, betweenTokensMillis = 1.0)).start()
    private val service = PlainServiceServer().start()
    private val client = HttpBackendClient()

    @AfterEach
    fun close() {
        client.close()
        engine.stop()
        service.stop()
    }

    @Test
    fun `a complete response is returned, and the request carries no key to the backend server`() {
        val outcome = send(chat("r1", headers = listOf(HttpHeader("authorization", "Bearer secret"))))
        expectThat(outcome).isA<AttemptOutcome.Answered>().get {
            response.body.decodeToString()
        }.contains("chatcmpl-r1")
        expectThat(engine.record.report().authorizationSeen).isFalse()
        expectThat(engine.record.runsOf("r1")).isEqualTo(1)
    }

    @Test
    fun `a request whose connection is refused was not executed`() {
        engine.stop()
        expectThat(send(chat("r1"))).isA<AttemptOutcome.NotRun>()
    }

    @Test
    fun `a request refused with not-run was not executed`() {
        engine.faults.set(ServerFaults(refuseNotRun = true))
        expectThat(send(chat("r1"))).isA<AttemptOutcome.NotRun>()
        expectThat(engine.record.runsOf("r1")).isEqualTo(0)
    }

    @Test
    fun `a server that crashes during the request has an unknown outcome`() {
        engine.faults.set(ServerFaults(crashWord = "poison"))
        expectThat(send(chat("r1", prompt = "poison"))).isA<AttemptOutcome.Unknown>()
        expectThat(engine.record.runsOf("r1")).isEqualTo(1)
    }

    @Test
    fun `a lost reply of a plain service has an unknown outcome although earlier connections succeeded`() {
        repeat(3) { expectThat(send(post("ok$it"), service.url)).isA<AttemptOutcome.Answered>() }
        service.faults.set(ServerFaults(loseReply = true))
        expectThat(send(post("r1"), service.url)).isA<AttemptOutcome.Unknown>()
        expectThat(service.record.runsOf("r1")).isEqualTo(1)
    }

    @Test
    fun `a connection closed before the response has an unknown outcome`() {
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { listener ->
            thread(isDaemon = true) { runCatching { while (true) listener.accept().close() } }
            expectThat(send(chat("r1"), "http://127.0.0.1:${listener.localPort}")).isA<AttemptOutcome.Unknown>()
        }
    }

    @Test
    fun `a late response is a timeout with unknown execution`() {
        engine.faults.set(ServerFaults(delayMillis = 5_000))
        val request = chat("r1", timeoutMillis = 100)
        expectThat(send(request)).isA<AttemptOutcome.Unknown>().get { timedOut }.isTrue()
    }

    @Test
    fun `a truncated response is never returned`() {
        engine.faults.set(ServerFaults(truncateBody = true))
        val outcome = send(chat("r1"))
        expectThat(outcome is AttemptOutcome.Mismatch || outcome is AttemptOutcome.Unknown).isTrue()
    }

    @Test
    fun `a response to another request is a mismatch`() {
        send(chat("r0"))
        engine.faults.set(ServerFaults(crossAnswers = true))
        expectThat(send(chat("r1"))).isA<AttemptOutcome.Mismatch>().get { reason }.contains("r0")
    }

    @Test
    fun `a response without a request id is a mismatch`() {
        engine.faults.set(ServerFaults(dropRequestId = true))
        expectThat(send(chat("r1"))).isA<AttemptOutcome.Mismatch>()
    }

    @Test
    fun `a stream has every offset once and completes, also with duplicated events`() {
        engine.faults.set(ServerFaults(duplicateEvents = true))
        val events = stream(chat("r1", stream = true))
        expectThat(events.filterIsInstance<StreamEvent.Chunk>().map { it.offset }).isEqualTo((0L until 16L).toList())
        expectThat(events.last()).isEqualTo(StreamEvent.Completed(16))
    }

    @Test
    fun `a gap in a stream is a mismatch`() {
        engine.faults.set(ServerFaults(skipEvent = 3))
        val events = stream(chat("r1", stream = true))
        expectThat(events).hasSize(4).last().isA<StreamEvent.Broken>().get { outcome }.isA<AttemptOutcome.Mismatch>()
    }

    @Test
    fun `a stream that ends without DONE is broken`() {
        engine.faults.set(ServerFaults(truncateStreamAfterEvents = 4))
        expectThat(stream(chat("r1", stream = true))).hasSize(5).last().isA<StreamEvent.Broken>()
    }

    @Test
    fun `a stream that breaks resumes from its offset without a second run`() {
        engine.faults.set(ServerFaults(cutStreamAfterEvents = 5, requests = 1))
        val first = stream(chat("r1", stream = true))
        expectThat(first).last().isA<StreamEvent.Broken>().get { outcome }.isA<AttemptOutcome.Unknown>()
        val rest = run { client.resume(server(), RequestId("r1"), 5).toList() }
        expectThat(rest.first()).isA<StreamEvent.Chunk>().get { offset }.isEqualTo(5)
        expectThat(rest.last()).isEqualTo(StreamEvent.Completed(16))
        expectThat(engine.record.runsOf("r1")).isEqualTo(1)
    }

    @Test
    fun `a stream of a crashed server is broken with unknown execution`() {
        engine.faults.set(ServerFaults(crashAfterEvents = 2))
        val events = stream(chat("r1", stream = true))
        expectThat(events).last().isA<StreamEvent.Broken>().get { outcome }.isA<AttemptOutcome.Unknown>()
    }

    @Test
    fun `a cancelled request frees its slot`() = run {
        val slow = EngineServer(EngineSettings(slots = 1, firstTokenMillis = 60_000.0, loadLagMillis = 0)).start()
        val target = server(slow.url)
        val pending = async { client.send(target, chat("r1")) }
        while (client.fetchLoadReport(target).get()?.running != 1) delay(5)
        client.cancel(target, RequestId("r1"))
        while (client.fetchLoadReport(target).get()?.running != 0) delay(5)
        expectThat(pending.await()).isA<AttemptOutcome.Answered>().get { response.status }.isEqualTo(410)
        expectThat(client.fetchLoadReport(target).get()).isNotNull().get { slots }.isEqualTo(1)
        slow.stop()
    }

    private fun send(request: BackendRequest, url: String = engine.url) = run { client.send(server(url), request) }

    private fun stream(request: BackendRequest) = run { client.stream(server(), request).toList() }

    private fun <T> run(block: suspend kotlinx.coroutines.CoroutineScope.() -> T): T =
        runBlocking { withTimeout(30_000, block) }

    private fun server(url: String = engine.url) =
        BackendServer(BackendServerId("e1"), url, FailureDomainId("d1"), models = listOf("wording"))

    private fun chat(
        id: String,
        prompt: String = "badge for Asha",
        stream: Boolean = false,
        headers: List<HttpHeader> = emptyList(),
        timeoutMillis: Long = 10_000,
    ): BackendRequest {
        val body = """{"model":"wording","stream":$stream,"messages":[{"role":"user","content":"$prompt"}]}"""
        val type = HttpHeader("Content-Type", "application/json")
        return BackendRequest(
            RequestId(id),
            "POST",
            "/v1/chat/completions",
            headers + type,
            body.toByteArray(),
            timeoutMillis,
        )
    }

    private fun post(id: String) =
        BackendRequest(RequestId(id), "POST", "/catalogue/reserve", body = "{}".toByteArray())
}
