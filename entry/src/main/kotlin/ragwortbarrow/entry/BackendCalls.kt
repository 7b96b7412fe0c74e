package ragwortbarrow.entry

import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.withTimeoutOrNull
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.http.HttpAnswer
import ragwortbarrow.http.HttpClientConnection
import ragwortbarrow.http.HttpClientPool
import ragwortbarrow.http.HttpFailure
import ragwortbarrow.http.HttpRequestMessage

/** A backend server's response: the decoded [head] and the [body] as it arrives. */
class StreamingResponse(val head: BackendResponseHead, val httpResponse: HttpResponse, val body: HttpAnswer)

/**
 * Sends requests to backend servers. [run] counts a request as in flight while it lasts. It closes the connection
 * unless the response was read to its end, so that the server stops work whose result nobody reads.
 */
class BackendCalls(
    private val pool: HttpClientPool,
    private val tracker: ServerTracker,
    private val protocol: EntryProtocol,
) {
    /**
     * Sends [request] to [server] and passes the response to [read]. Throws [HttpFailure] or [LeftQueue]. With
     * [requiresFreshConnection] a pooled connection is reused only shortly after its last response: the server may have
     * closed an older one, and a request that is not repeatable cannot be retried.
     */
    suspend fun <T> run(
        server: BackendServer,
        request: HttpRequestMessage,
        requestId: String,
        isBatch: Boolean,
        requiresFreshConnection: Boolean,
        waitMillis: Double = 0.0,
        timeouts: ResponseHeadTimeouts = ResponseHeadTimeouts(),
        read: suspend (StreamingResponse) -> T,
    ): T {
        val startMillis = tracker.recordStart(server.id, isBatch, waitMillis)
        var connection: HttpClientConnection? = null
        try {
            connection =
                pool.acquire(server.address, if (requiresFreshConnection) FRESH_SHARE else HttpClientPool.KEPT_SHARE)
            val answer = connection.send(request, { tracker.recordActivity(server.id) }) {
                protocol.isResponseTo(it, requestId)
            }
            val response = awaitHead(answer, timeouts)
            tracker.recordResponseStart(server.id)
            val head = protocol.parseResponseHead(response)
            val result = try {
                read(StreamingResponse(head, response, answer))
            } finally {
                tracker.recordResponseEnd(server.id)
            }
            // A batch item is sent again under the same id. A late second copy of its failure would look like the
            // response to the next run, so a connection with a failure is not used again.
            if (!isBatch || head.status in 200..299) {
                pool.release(connection)
                connection = null
            }
            return result
        } catch (abandoned: LeftQueue) {
            tracker.recordUnanswered(server.id)
            throw abandoned
        } catch (failure: HttpFailure) {
            tracker.recordFailure(server.id)
            pool.drop(server.address)
            throw failure
        } finally {
            connection?.close()
            tracker.recordEnd(server.id, isBatch, startMillis)
        }
    }

    private suspend fun awaitHead(answer: HttpAnswer, timeouts: ResponseHeadTimeouts): HttpResponse {
        var remainingMillis = timeouts.timeoutMillis
        if (timeouts.abandonAfterMillis < remainingMillis) {
            withTimeoutOrNull(timeouts.abandonAfterMillis) { answer.head() }?.let { return it }
            if (timeouts.mayAbandon()) throw LeftQueue(timeouts.abandonAfterMillis)
            remainingMillis -= timeouts.abandonAfterMillis
        }
        return withTimeoutOrNull(remainingMillis) { answer.head() }
            ?: throw HttpFailure.Broken("no answer within ${timeouts.timeoutMillis} ms")
    }

    private companion object {
        /** Share of a server's keep-alive time within which an idle connection counts as fresh. */
        const val FRESH_SHARE = 0.5
    }
}
