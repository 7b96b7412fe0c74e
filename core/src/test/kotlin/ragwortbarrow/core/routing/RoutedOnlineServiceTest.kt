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

/** Guards whole answers: retries only where they are safe, crossed and late answers refused, refusals that are true. */
@OptIn(ExperimentalCoroutinesApi::class)
class RoutedOnlineServiceTest {
    private val fixture = OnlineFixture(listOf(server("a"), server("b"), server("c")))
    private val client = fixture.client
    private val timer = fixture.timer

    @Test
    fun `an attempt that did not run goes to another server, also for a call that must not be repeated`() {
        client.onSend = { server, _ ->
            if (client.sent.size == 1) AttemptOutcome.NotRun("refused") else answered(server.id.value)
        }
        val reply = fixture.answer(call("r1", repeatable = false))
        expectThat(reply.answerText()).isNotNull().isNotEqualTo(client.sent.first().first)
    }

    @Test
    fun `a call that must not be repeated is never sent again once bytes may have left`() {
        listOf(
            unknown,
            AttemptOutcome.Mismatch("crossed"),
            AttemptOutcome.Unknown("late", timedOut = true),
        ).forEach { outcome ->
            client.sent.clear()
            client.onSend = { _, _ -> outcome }
            val reply = fixture.answer(call("r1", repeatable = false))
            expectThat(reply.error().execution).isEqualTo(Execution.UNKNOWN)
            expectThat(client.sent).hasSize(1)
            timer.advance(60_000)
        }
    }

    @Test
    fun `a crossed or late answer of a repeatable call is replaced by the answer of another server`() {
        client.onSend = { server, _ ->
            if (client.sent.size == 1) AttemptOutcome.Mismatch("belongs to r0") else answered(server.id.value)
        }
        val reply = fixture.answer(call("r1"))
        expectThat(reply.answerText()).isEqualTo(client.sent.last().first)
        expectThat(client.sent.map { it.first }.toSet()).hasSize(2)
    }

    @Test
    fun `a refusal after an attempt that may have run does not claim not-run`() {
        val single = OnlineFixture(listOf(server("a", slots = 1)))
        single.client.onSend =
            { _, _ -> if (single.client.sent.size == 1) unknown else AttemptOutcome.NotRun("refused") }
        val reply = single.answer(call("r1"))
        single.timer.advance(60_000)
        expectThat(reply.error().execution).isEqualTo(Execution.UNKNOWN)
    }

    @Test
    fun `a refusal of the queue after an attempt that may have run does not claim not-run`() {
        val single = OnlineFixture(listOf(server("a")))
        single.client.onSend = { _, _ -> unknown.also { single.leavingByVmList += BackendServerId("a") } }
        val error = single.answer(call("r1")).error()
        expectThat(error.code).isEqualTo(ResultCode.NO_BACKEND_SERVER)
        expectThat(error.execution).isEqualTo(Execution.UNKNOWN)
    }

    @Test
    fun `requests wait while all servers are full and are refused as not-run beyond the bounds`() {
        val small = OnlineFixture(listOf(server("a", slots = 1)), queueLength = 1)
        small.client.onSend = { _, _ ->
            small.timer.pause(3_000)
            answered("done")
        }
        // One runs, one waits inside the engine, one waits here, and the last finds the queue full.
        val replies = (1..4).map { small.answer(call("r$it")) }
        expectThat(replies[3].error()).and {
            get { code }.isEqualTo(ResultCode.QUEUE_FULL)
            get { execution }.isEqualTo(Execution.NOT_RUN)
        }
        small.timer.advance(2_000)
        expectThat(replies[2].error().code).isEqualTo(ResultCode.QUEUE_TIMEOUT)
        small.timer.advance(1_000)
        expectThat(replies[0].answerText()).isEqualTo("done")
        expectThat(small.service.waiting()).isEqualTo(0)
    }

    @Test
    fun `a waiting request gets the slot that becomes free`() {
        val small = OnlineFixture(listOf(server("a", slots = 1)))
        val replies = (1..3).map { small.answer(call("r$it")) }
        small.timer.advance(99)
        expectThat(small.client.sent).hasSize(2)
        small.timer.advance(101)
        expectThat(replies.map { it.answerText() }).isEqualTo(listOf("a", "a", "a"))
    }

    @Test
    fun `a caller that leaves frees its slot and cancels at the server`() {
        val reply = fixture.answer(call("r1"))
        val chosen = client.sent.single().first
        reply.cancel()
        expectThat(client.cancelled).contains(chosen to "r1")
        expectThat(fixture.service.loads.own(BackendServerId(chosen))).isEqualTo(0)
    }

    @Test
    fun `a leaving server gets nothing new, whether the manifest or the VM list says so`() {
        val leaving = OnlineFixture(listOf(server("a", leaving = true), server("b"), server("c")))
        leaving.leavingByVmList += BackendServerId("b")
        repeat(8) { leaving.answer(call("r$it")) }
        expectThat(leaving.client.sent.map { it.first }.toSet()).isEqualTo(setOf("c"))
        leaving.leavingByVmList += BackendServerId("c")
        expectThat(leaving.answer(call("last")).error().code).isEqualTo(ResultCode.NO_BACKEND_SERVER)
    }

    @Test
    fun `a request in flight on a server that starts to leave is completed there`() {
        val reply = fixture.answer(call("r1"))
        fixture.leavingByVmList += BackendServerId(client.sent.single().first)
        timer.advance(100)
        expectThat(reply.answerText()).isEqualTo(client.sent.single().first)
    }

    @Test
    fun `retries in a brown-out stay within ten percent of the requests plus ten`() {
        // Without pauses of failed servers, only the budget bounds the retries.
        val brownOut = OnlineFixture(listOf(server("a"), server("b")), firstPauseMillis = 0)
        brownOut.client.onSend = { _, _ ->
            brownOut.timer.pause(5)
            unknown
        }
        val replies = (1..1_000).map { index ->
            brownOut.timer.advance(10)
            brownOut.answer(call("r$index"))
        }
        brownOut.timer.advance(1_000)
        expectThat(replies.count { it.error().code == ResultCode.RETRY_BUDGET_SPENT }).isGreaterThan(800)
        expectThat(brownOut.client.sent.size).isLessThanOrEqualTo(1_000 + 100 + 10)
    }

    @Test
    fun `a server that fails is skipped with a growing pause`() {
        val pair = OnlineFixture(listOf(server("a"), server("b")))
        pair.client.onSend =
            { server, _ -> if (server.id.value == "a") AttemptOutcome.NotRun("down") else answered("b") }
        repeat(600) { index ->
            pair.timer.advance(10)
            pair.answer(call("r$index", customer = "c${index % 10}"))
        }
        // Pauses of 100, 200, 400, 800, 1600 and 3200 ms fill the 6 s.
        expectThat(pair.client.sent.count { it.first == "a" }).isLessThanOrEqualTo(7)
    }

    @Test
    fun `a caller gets an error answer of the server as it is`() {
        client.onSend =
            { _, _ -> AttemptOutcome.Answered(BackendResponse(500, emptyList(), "bad prompt".toByteArray())) }
        expectThat(fixture.answer(call("r1")).answerText()).isEqualTo("bad prompt")
        expectThat(client.sent).hasSize(1)
        expectThat(client.cancelled).isEmpty()
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
internal fun Deferred<Result<BackendResponse, ServingError>>.answerText(): String? =
    getCompleted().get()?.body?.decodeToString()

@OptIn(ExperimentalCoroutinesApi::class)
internal fun Deferred<Result<BackendResponse, ServingError>>.error(): ServingError =
    checkNotNull(getCompleted().getError())
