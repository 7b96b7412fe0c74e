package ragwortbarrow.standins.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.RoutingCall
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.encodeToJsonElement
import ragwortbarrow.core.store.ObjectDocument
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectMetadata
import ragwortbarrow.core.store.StatusDocument
import ragwortbarrow.core.store.WatchEvent
import ragwortbarrow.core.store.WatchFailedException
import ragwortbarrow.core.store.WatchLine
import ragwortbarrow.core.store.resourceVersion
import ragwortbarrow.core.store.storeJson
import ragwortbarrow.core.store.toDocument

/**
 * Streams one JSON event per line. If the requested version is too old, responds with 410, or with an `ERROR` event
 * once the first event has been sent. Sends a bookmark after [bookmarkMillis] without a change.
 */
internal suspend fun RoutingCall.respondWatch(server: PlatformServer, kind: ObjectKind, bookmarkMillis: Long) {
    val fromVersion = queryParameters["resourceVersion"]?.toLongOrNull() ?: 0
    val metadataOnly = isMetadataOnly()
    coroutineScope {
        val events = Channel<WatchEvent>(capacity = 64)
        val source = launch {
            try {
                server.store.watch(kind, fromVersion, metadataOnly).collect { events.send(it) }
                events.close()
            } catch (failure: WatchFailedException) {
                events.close(failure)
            }
        }
        // Without changes the store sends a bookmark immediately, so the first event shows if the version is valid.
        val first = events.receiveCatching()
        if (first.isClosed) {
            respondStatus(HttpStatusCode.Gone, "Expired", first.exceptionOrNull()?.message.orEmpty())
        } else {
            respondBytesWriter(ContentType.Application.Json) {
                val end = launch {
                    server.faultState.first { it.faults.outage && it.faults.affects(kind.path) }
                    events.close(WatchFailedException("the platform is unavailable"))
                }
                streamEvents(server, kind, events, first.getOrThrow(), bookmarkMillis)
                end.cancel()
            }
        }
        source.cancel()
    }
}

private suspend fun ByteWriteChannel.streamEvents(
    server: PlatformServer,
    kind: ObjectKind,
    events: Channel<WatchEvent>,
    first: WatchEvent,
    bookmarkMillis: Long,
) {
    var event: WatchEvent = first
    while (true) {
        server.faultState.first { !(it.faults.silentWatches && it.faults.affects(kind.path)) }
        writeStringUtf8(storeJson.encodeToString(event.toLine(kind)) + "\n")
        flush()
        val next = withTimeoutOrNull(bookmarkMillis) { events.receiveCatching() }
        event = when {
            next == null -> WatchEvent.Bookmark(event.resourceVersion())
            next.isClosed -> return writeEnd(next.exceptionOrNull())
            else -> next.getOrThrow()
        }
    }
}

/** Reports a failure in the stream, because the response status has already been sent. */
private suspend fun ByteWriteChannel.writeEnd(cause: Throwable?) {
    if (cause == null) return
    val tooOld = cause is WatchFailedException && cause.versionTooOld
    val status = if (tooOld) HttpStatusCode.Gone else HttpStatusCode.ServiceUnavailable
    val reason = if (tooOld) "Expired" else "ServiceUnavailable"
    val document = StatusDocument(reason = reason, message = cause.message.orEmpty(), code = status.value)
    writeStringUtf8(storeJson.encodeToString(WatchLine("ERROR", storeJson.encodeToJsonElement(document))) + "\n")
}

private fun WatchEvent.toLine(kind: ObjectKind): WatchLine = when (this) {
    is WatchEvent.Changed -> WatchLine("MODIFIED", storeJson.encodeToJsonElement(stored.toDocument()))
    is WatchEvent.Deleted -> WatchLine("DELETED", storeJson.encodeToJsonElement(marker(kind, name, version)))
    is WatchEvent.Bookmark -> WatchLine("BOOKMARK", storeJson.encodeToJsonElement(marker(kind, "", version)))
}

private fun marker(kind: ObjectKind, name: String, version: Long) =
    ObjectDocument(kind.path, ObjectMetadata(name, version.toString()))
