package ragwortbarrow.objectapi

import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.prepareRequest
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.decodeFromJsonElement
import ragwortbarrow.core.store.ObjectDocument
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StatusDocument
import ragwortbarrow.core.store.WatchEvent
import ragwortbarrow.core.store.WatchFailedException
import ragwortbarrow.core.store.WatchLine
import ragwortbarrow.core.store.storeJson
import ragwortbarrow.core.store.toStoredObject

/** Streams the events of one watch request; every failure is thrown as a [WatchFailedException]. */
internal fun watchFlow(
    client: HttpClient,
    kind: ObjectKind,
    idleTimeoutMillis: Long,
    listener: StoreCallListener,
    build: HttpRequestBuilder.() -> Unit,
): Flow<WatchEvent> = channelFlow {
    val startNanos = System.nanoTime()
    var outcome = "closed"
    try {
        client.prepareRequest(build).execute { response ->
            if (!response.status.isSuccess()) {
                val tooOld = response.status == HttpStatusCode.Gone
                throw WatchFailedException("the platform returned ${response.status}: ${response.bodyAsText()}", tooOld)
            }
            val lines = response.bodyAsChannel()
            while (true) {
                val line = withTimeoutOrNull(idleTimeoutMillis) { ReceivedLine(lines.readLine()) }
                    ?: throw WatchFailedException("the watch received no event for $idleTimeoutMillis ms")
                send(parseEvent(line.text ?: break, kind))
            }
        }
    } catch (failure: WatchFailedException) {
        outcome = "failed"
        throw failure
    } catch (failure: Exception) {
        // Ktor reports some lost connections as cancellations; rethrow only if the caller itself was cancelled.
        currentCoroutineContext().ensureActive()
        outcome = "failed"
        throw WatchFailedException("${failure.javaClass.simpleName}: ${failure.message}")
    } finally {
        listener.onCall("watch", kind, outcome, System.nanoTime() - startNanos)
    }
}

/** Distinguishes the end of the response, where [text] is null, from a timeout. */
private class ReceivedLine(val text: String?)

private fun parseEvent(text: String, kind: ObjectKind): WatchEvent {
    val line = storeJson.decodeFromString<WatchLine>(text)
    if (line.type == "ERROR") {
        val status = storeJson.decodeFromJsonElement<StatusDocument>(line.`object`)
        throw WatchFailedException(status.message, versionTooOld = status.code == HttpStatusCode.Gone.value)
    }
    val stored = storeJson.decodeFromJsonElement<ObjectDocument>(line.`object`).toStoredObject(kind)
    return when (line.type) {
        "BOOKMARK" -> WatchEvent.Bookmark(stored.version)
        "DELETED" -> WatchEvent.Deleted(stored.name, stored.version)
        else -> WatchEvent.Changed(stored)
    }
}
