package ragwortbarrow.core.routing

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.junit.jupiter.api.Test
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.time.pause
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull

/** Guards against unsafe retries, responses to other requests, and errors that wrongly claim `not-run`. */
@OptIn(ExperimentalCoroutinesApi::class)
class RoutedOnlineServiceTest {
    private val fixture = OnlineFixture(listOf(server("a"), server("b"), server("c")))
    private val client = fixture.client
    private val timer = fixture.timer

    @Test
    fun `an attempt that did not run is retried on another server, even if the call is not repeatable`() {
        client.onSend = { server, _ ->
            if (client.sent.size == 1) AttemptOutcome.NotRun("refused") else answered(server.id.value)
        }
        val reply = fixture.execute(call("r1", repeatable = false))
        expectThat(reply.responseText()).isNotNull().isNotEqualTo(client.sent.first().first)
    }

    @Test
    fun `a call that is not repeatable is never sent again once bytes may have been sent`() {
        listOf(
            unknownOutcome,
            AttemptOutcome.Mismatch("crossed"),
            AttemptOutcome.Unknown("late", timedOut = true),
        ).forEach { outcome ->
            client.sent.clear()
            client.onSend = { _, _ -> outcome }
            val reply = fixture.execute(call("r1", repeatable = false))
            expectThat(reply.error().execution).isEqualTo(Execution.UNKNOWN)
            expectThat(client.sent).hasSize(1)
            timer.advance(60_000)
        }
    }

    @Test
    fun `a repeatable call whose response belongs to another request is retried on another server`() {
        client.onSend = { server, _ ->
            if (client.sent.size == 1) AttemptOutcome.Mismatch("belongs to r0") else answered(server.id.value)
        }
        val reply = fixture.execute(call("r1"))
        expectThat(reply.responseText()).isEqualTo(client.sent.last().first)
        expectThat(client.sent.map { it.first }.toSet()).hasSize(2)
    }

    @Test
    fun `an error after an attempt that may have run does not claim not-run`() {
        val single = OnlineFixture(listOf(server("a", slots = 1)))
        single.client.onSend =
            { _, _ -> if (single.client.sent.size == 1) unknownOutcome else AttemptOutcome.NotRun("refused") }
        val reply = single.execute(call("r1"))
        single.timer.advance(60_000)
        expectThat(reply.error().execution).isEqualTo(Execution.UNKNOWN)
    }

    @Test
    fun `a queue error after an attempt that may have run does not claim not-run`() {
        val single = OnlineFixture(listOf(server("a")))
        single.client.onSend = { _, _ -> unknownOutcome.also { single.leavingByVmList += BackendServerId("a") } }
        val error = single.execute(call("r1")).error()
        expectThat(error.code).isEqualTo(ResultCode.NO_BACKEND_SERVER)
        expectThat(error.execution).isEqualTo(Execution.UNKNOWN)
    }

    @Test
    fun `requests wait while all servers are full and fail as not-run beyond the queue limits`() {
        val small = OnlineFixture(listOf(server("a", slots = 1)), queueLength = 1)
        small.client.onSend = { _, _ ->
            small.timer.pause(3_000)
            answered("done")
        }
        // One runs, one waits inside the engine, one waits in the queue, and the last one finds the queue full.
        val replies = (1..4).map { small.execute(call("r$it")) }
        expectThat(replies[3].error()).and {
            get { code }.isEqualTo(ResultCode.QUEUE_FULL)
            get { execution }.isEqualTo(Execution.NOT_RUN)
        }
        small.timer.advance(2_000)
        expectThat(replies[2].error().code).isEqualTo(ResultCode.QUEUE_TIMEOUT)
        small.timer.advance(1_000)
        expectThat(replies[0].responseText()).isEqualTo("done")
        expectThat(small.service.waiting()).isEqualTo(0)
    }

    @Test
    fun `a waiting request gets the slot that becomes free`() {
        val small = OnlineFixture(listOf(server("a", slots = 1)))
        val replies = (1..3).map { small.execute(call("r$it")) }
        small.timer.advance(99)
        expectThat(small.client.sent).hasSize(2)
        small.timer.advance(101)
        expectThat(replies.map { it.responseText() }).isEqualTo(listOf("a", "a", "a"))
    }

    @Test
    fun `a caller that disconnects frees its slot, and the request is cancelled on the server`() {
        val reply = fixture.execute(call("r1"))
        val chosen = client.sent.single().first
        reply.cancel()
        expectThat(client.cancelled).contains(chosen to "r1")
        expectThat(fixture.service.loads.localInFlight(BackendServerId(chosen))).isEqualTo(0)
    }

    @Test
    fun `a server marked as leaving in the manifest or the VM list gets no new requests`() {
        val leaving = OnlineFixture(listOf(server("a", leaving = true), server("b"), server("c")))
        leaving.leavingByVmList += BackendServerId("b")
        repeat(8) { leaving.execute(call("r$it")) }
        expectThat(leaving.client.sent.map { it.first }.toSet()).isEqualTo(setOf("c"))
        leaving.leavingByVmList += BackendServerId("c")
        expectThat(leaving.execute(call("last")).error().code).isEqualTo(ResultCode.NO_BACKEND_SERVER)
    }

    @Test
    fun `a request in flight on a server is completed there when the server starts to leave`() {
        val reply = fixture.execute(call("r1"))
        fixture.leavingByVmList += BackendServerId(client.sent.single().first)
        timer.advance(100)
        expectThat(reply.responseText()).isEqualTo(client.sent.single().first)
    }

    @Test
    fun `retries while all servers fail stay within ten percent of the requests plus ten`() {
        // Without a backoff for failed servers, only the retry budget limits the retries.
        val failing = OnlineFixture(listOf(server("a"), server("b")), initialBackoffMillis = 0)
        failing.client.onSend = { _, _ ->
            failing.timer.pause(5)
            unknownOutcome
        }
        val replies = (1..1_000).map { index ->
            failing.timer.advance(10)
            failing.execute(call("r$index"))
        }
        failing.timer.advance(1_000)
        expectThat(replies.count { it.error().code == ResultCode.RETRY_BUDGET_SPENT }).isGreaterThan(800)
        expectThat(failing.client.sent.size).isLessThanOrEqualTo(1_000 + 100 + 10)
    }

    @Test
    fun `a server that fails is skipped with increasing backoff`() {
        val pair = OnlineFixture(listOf(server("a"), server("b")))
        pair.client.onSend =
            { server, _ -> if (server.id.value == "a") AttemptOutcome.NotRun("down") else answered("b") }
        repeat(600) { index ->
            pair.timer.advance(10)
            pair.execute(call("r$index", customer = "c${index % 10}"))
        }
        // Backoffs of 100, 200, 400, 800, 1600 and 3200 ms add up to more than the 6 s of the test.
        expectThat(pair.client.sent.count { it.first == "a" }).isLessThanOrEqualTo(7)
    }

    @Test
    fun `an error response of the server is passed to the caller unchanged`() {
        client.onSend =
            { _, _ -> AttemptOutcome.Answered(BackendResponse(500, emptyList(), "bad prompt".toByteArray())) }
        expectThat(fixture.execute(call("r1")).responseText()).isEqualTo("bad prompt")
        expectThat(client.sent).hasSize(1)
        expectThat(client.cancelled).isEmpty()
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
internal fun Deferred<Result<BackendResponse, ServingError>>.responseText(): String? =
    getCompleted().get()?.body?.decodeToString()

@OptIn(ExperimentalCoroutinesApi::class)
internal fun Deferred<Result<BackendResponse, ServingError>>.error(): ServingError =
    checkNotNull(getCompleted().getError())
