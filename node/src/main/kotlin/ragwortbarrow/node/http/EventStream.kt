package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.routing.CallerEvent
import ragwortbarrow.core.routing.OnlineCall

/**
 * Streams an answer as server-sent events, each flushed by itself. The status is sent with the first event, so that a
 * failure before it is an ordinary refusal. A later failure, or the withdrawal of [grant], ends the stream with an
 * error event and without `[DONE]`.
 */
internal suspend fun ServedCall.serveStream(online: OnlineCall, grant: KeyGrant): Result<Unit, ServingError> =
    coroutineScope {
        val events = parts.online.stream(online).buffer(EVENT_BUFFER).produceIn(this)
        val result = serveEvents(events, grant)
        // The caller has its answer; whatever still runs for it is stopped.
        coroutineContext.cancelChildren()
        result
    }

private suspend fun ServedCall.serveEvents(
    events: ReceiveChannel<CallerEvent>,
    grant: KeyGrant,
): Result<Unit, ServingError> = when (val first = nextEvent(events, grant)) {
    is CallerEvent.Failed -> Err(first.error)

    is CallerEvent.Answered -> Ok(call.respondAnswer(first.response))

    is CallerEvent.Chunk, CallerEvent.Completed -> {
        parts.metrics.firstEvent(parts.timer.nanoTime() - startNanos)
        call.response.header(HttpHeaders.CacheControl, "no-store")
        call.respondBytesWriter(ContentType.Text.EventStream) { writeEvents(this, first, events, grant) }
        Ok(Unit)
    }
}

private suspend fun ServedCall.writeEvents(
    writer: ByteWriteChannel,
    first: CallerEvent,
    events: ReceiveChannel<CallerEvent>,
    grant: KeyGrant,
) {
    var event = first
    while (event is CallerEvent.Chunk) {
        writer.writeEvent("id: ${event.offset}\ndata: ${event.data}\n\n")
        event = nextEvent(events, grant)
    }
    when (event) {
        is CallerEvent.Completed -> writer.writeEvent("data: [DONE]\n\n")

        is CallerEvent.Failed -> {
            noteError(event.error)
            writer.writeEvent("event: error\ndata: ${event.error.toBody()}\n\n")
        }

        is CallerEvent.Answered, is CallerEvent.Chunk -> error("an answer can only come first")
    }
}

private suspend fun ByteWriteChannel.writeEvent(text: String) {
    writeStringUtf8(text)
    flush()
}

/** The next event, or the failure that the key has been withdrawn; a silent stream is checked as well. */
@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun ServedCall.nextEvent(events: ReceiveChannel<CallerEvent>, grant: KeyGrant): CallerEvent {
    while (true) {
        if (parts.keys.isWithdrawn(grant)) return CallerEvent.Failed(withdrawn())
        val received = select<ChannelResult<CallerEvent>?> {
            events.onReceiveCatching { it }
            onTimeout(KEY_CHECK_MILLIS) { null }
        } ?: continue
        return received.getOrNull() ?: CallerEvent.Failed(cutShort(received.exceptionOrNull()))
    }
}

private fun withdrawn() = ServingError.BackendFailed(
    code = ResultCode.KEY_WITHDRAWN,
    message = "the key has been withdrawn",
    execution = Execution.UNKNOWN,
)

private fun cutShort(cause: Throwable?) = ServingError.BackendFailed(
    code = ResultCode.STREAM_BROKEN,
    message = "the stream ended before its last event" + cause?.let { ": ${it.message}" }.orEmpty(),
    execution = Execution.UNKNOWN,
)

/** How often the key of a stream without events is checked; a withdrawal has to work within seconds. */
private const val KEY_CHECK_MILLIS = 500L

/** Keeps a slow caller from holding the whole answer in memory, and a fast engine from waiting for each flush. */
private const val EVENT_BUFFER = 16
