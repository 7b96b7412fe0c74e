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

/** The events of one watch request; every failure becomes a [WatchFailedException]. */
internal fun watchFlow(
    client: HttpClient,
    kind: ObjectKind,
    silenceMillis: Long,
    listener: StoreCallListener,
    build: HttpRequestBuilder.() -> Unit,
): Flow<WatchEvent> = channelFlow {
    val startNanos = System.nanoTime()
    var outcome = "closed"
    try {
        client.prepareRequest(build).execute { response ->
            if (!response.status.isSuccess()) {
                val tooOld = response.status == HttpStatusCode.Gone
                throw WatchFailedException("the platform answered ${response.status}: ${response.bodyAsText()}", tooOld)
            }
            val lines = response.bodyAsChannel()
            while (true) {
                val line = withTimeoutOrNull(silenceMillis) { Line(lines.readLine()) }
                    ?: throw WatchFailedException("the watch was silent for $silenceMillis ms")
                send(eventOf(line.text ?: break, kind))
            }
        }
    } catch (failure: WatchFailedException) {
        outcome = "failed"
        throw failure
    } catch (failure: Exception) {
        // The client reports some lost connections as cancellations, so only a cancelled caller ends here.
        currentCoroutineContext().ensureActive()
        outcome = "failed"
        throw WatchFailedException("${failure.javaClass.simpleName}: ${failure.message}")
    } finally {
        listener.called("watch", kind, outcome, System.nanoTime() - startNanos)
    }
}

private class Line(val text: String?)

private fun eventOf(text: String, kind: ObjectKind): WatchEvent {
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
