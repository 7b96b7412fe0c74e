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
 * Streams a response as server-sent events and flushes each of them. The status is sent with the first event, so that
 * an earlier failure becomes an ordinary error response. A later failure, or the withdrawal of [grant], ends the stream
 * with an error event and without `[DONE]`.
 */
internal suspend fun ServedCall.serveStream(online: OnlineCall, grant: KeyGrant): Result<Unit, ServingError> =
    coroutineScope {
        val events = deps.online.stream(online).buffer(EVENT_BUFFER).produceIn(this)
        val result = serveEvents(events, grant)
        // The response is complete; cancels whatever still runs for it.
        coroutineContext.cancelChildren()
        result
    }

private suspend fun ServedCall.serveEvents(
    events: ReceiveChannel<CallerEvent>,
    grant: KeyGrant,
): Result<Unit, ServingError> = when (val first = nextEvent(events, grant)) {
    is CallerEvent.Failed -> Err(first.error)

    is CallerEvent.Answered -> Ok(call.respondBackendResponse(first.response))

    is CallerEvent.Chunk, CallerEvent.Completed -> {
        deps.metrics.recordFirstEvent(deps.timer.nanoTime() - startNanos)
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
            recordError(event.error)
            writer.writeEvent("event: error\ndata: ${event.error.toBody()}\n\n")
        }

        is CallerEvent.Answered, is CallerEvent.Chunk -> error("a complete response must be the first event")
    }
}

private suspend fun ByteWriteChannel.writeEvent(text: String) {
    writeStringUtf8(text)
    flush()
}

/** Returns the next event, or a failure once the key has been withdrawn, even if no further event arrives. */
@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun ServedCall.nextEvent(events: ReceiveChannel<CallerEvent>, grant: KeyGrant): CallerEvent {
    while (true) {
        if (deps.keys.isWithdrawn(grant)) return CallerEvent.Failed(keyWithdrawnError())
        val received = select<ChannelResult<CallerEvent>?> {
            events.onReceiveCatching { it }
            onTimeout(KEY_CHECK_MILLIS) { null }
        } ?: continue
        return received.getOrNull() ?: CallerEvent.Failed(streamBrokenError(received.exceptionOrNull()))
    }
}

private fun keyWithdrawnError() = ServingError.BackendFailed(
    code = ResultCode.KEY_WITHDRAWN,
    message = "the key has been withdrawn",
    execution = Execution.UNKNOWN,
)

private fun streamBrokenError(cause: Throwable?) = ServingError.BackendFailed(
    code = ResultCode.STREAM_BROKEN,
    message = "the stream ended before its last event" + cause?.let { ": ${it.message}" }.orEmpty(),
    execution = Execution.UNKNOWN,
)

/** Interval of key checks on a stream without events; a withdrawal must take effect within seconds. */
private const val KEY_CHECK_MILLIS = 500L

/** Bounds the memory used for a slow caller without making a fast backend server wait for each flush. */
private const val EVENT_BUFFER = 16
