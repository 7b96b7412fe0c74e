package ragwortbarrow.core.routing

import org.junit.jupiter.api.Test
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.StreamEvent
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.last

/** Guards complete streams: each chunk arrives once and in order, and a stream that differs after a restart fails. */
class BrokenStreamTest {
    private val fixture = OnlineFixture(listOf(server("a"), server("b")))
    private val client = fixture.client

    @Test
    fun `a broken stream is resumed at the same server from its offset and runs once`() {
        breakAfter(3)
        val events = stream(call("r1", repeatable = false))
        expectThat(events).isWholeStream()
        expectThat(client.sent).hasSize(1)
        expectThat(client.resumed).isEqualTo(mutableListOf(client.sent.single().first to 3L))
    }

    @Test
    fun `a stream of a crashed server is restarted on another server and the caller gets each chunk once`() {
        breakAfter(3)
        client.onResume = { _, _, emit -> emit(StreamEvent.Broken(AttemptOutcome.NotRun("refused"))) }
        val events = stream(call("r1"))
        expectThat(events).isWholeStream()
        expectThat(client.sent).hasSize(2)
        expectThat(client.sent[1].first).isNotEqualTo(client.sent[0].first)
    }

    @Test
    fun `a restarted stream that differs from the delivered chunks fails with STREAM_BROKEN`() {
        breakAfter(3)
        client.onResume = { _, _, emit -> emit(StreamEvent.Broken(unknownOutcome)) }
        val first = client.onStream
        client.onStream = { server, emit ->
            if (client.sent.size > 1) emit(StreamEvent.Chunk(0, "something else"))
            if (client.sent.size == 1) first(server, emit) else client.chunks(1, 6, emit)
        }
        expectThat(stream(call("r1"))).hasSize(4).last().isBroken()
    }

    @Test
    fun `a restarted stream that breaks is resumed at its own offset, not at that of the caller`() {
        client.onStream = { _, emit ->
            client.chunks(0, if (client.sent.size == 1) 4 else 2, emit, complete = false)
            emit(StreamEvent.Broken(if (client.sent.size == 1) timedOutOutcome else unknownOutcome))
        }
        client.onResume = { _, from, emit -> emit(StreamEvent.Chunk(from, "something else")) }
        expectThat(stream(call("r1"))).hasSize(5).last().isBroken()
        expectThat(client.resumed.single().second).isEqualTo(2L)
    }

    @Test
    fun `a restarted stream may differ in ids and creation times`() {
        client.onStream = { server, emit ->
            for (offset in 0L until 2L) {
                emit(StreamEvent.Chunk(offset, """{"id":"${server.id}","choices":[{"text":"$offset"}]}"""))
                if (client.sent.size == 1) emit(StreamEvent.Broken(timedOutOutcome))
            }
            emit(StreamEvent.Completed(2))
        }
        expectThat(stream(call("r1"))).hasSize(3).last().isEqualTo(CallerEvent.Completed)
        expectThat(client.resumed).isEmpty()
    }

    @Test
    fun `a stream that must not be repeated and cannot be resumed fails with unknown execution`() {
        breakAfter(3)
        client.onResume = { _, _, emit -> emit(StreamEvent.Broken(AttemptOutcome.NotRun("refused"))) }
        expectThat(stream(call("r1", repeatable = false))).hasSize(4).last().isBroken()
        expectThat(client.sent).hasSize(1)
    }

    @Test
    fun `a chunk after a gap never reaches the caller`() {
        client.onStream = { _, emit ->
            client.chunks(0, 2, emit, complete = false)
            emit(StreamEvent.Chunk(4, "token 4"))
        }
        expectThat(stream(call("r1"))).isWholeStream()
        expectThat(client.resumed.single().second).isEqualTo(2L)
    }

    @Test
    fun `duplicate chunks are delivered once`() {
        client.onStream = { _, emit ->
            client.chunks(0, 3, emit, complete = false)
            client.chunks(1, 6, emit)
        }
        expectThat(stream(call("r1"))).isWholeStream()
    }

    @Test
    fun `a stream with missing chunks is not completed for the caller`() {
        client.onStream = { _, emit ->
            client.chunks(0, 3, emit, complete = false)
            emit(StreamEvent.Completed(6))
        }
        client.onResume = { _, _, emit -> emit(StreamEvent.Completed(2)) }
        expectThat(stream(call("r1"))).hasSize(4).last().isBroken()
    }

    private val timedOutOutcome = AttemptOutcome.Unknown("silent", timedOut = true)

    private fun breakAfter(chunks: Long) {
        client.onStream = { _, emit ->
            if (client.sent.size == 1) {
                client.chunks(0, chunks, emit, complete = false)
                emit(StreamEvent.Broken(unknownOutcome))
            } else {
                client.chunks(0, 6, emit)
            }
        }
    }

    private fun stream(call: OnlineCall): List<CallerEvent> {
        val events = fixture.stream(call)
        fixture.timer.advance(5_000)
        return events
    }

    private fun strikt.api.Assertion.Builder<List<CallerEvent>>.isWholeStream() =
        isEqualTo((0L until 6L).map { CallerEvent.Chunk(it, "token $it") } + CallerEvent.Completed)

    private fun strikt.api.Assertion.Builder<CallerEvent>.isBroken() = isA<CallerEvent.Failed>().get { error }.and {
        get { code }.isEqualTo(ResultCode.STREAM_BROKEN)
        get { execution }.isEqualTo(Execution.UNKNOWN)
    }
}
