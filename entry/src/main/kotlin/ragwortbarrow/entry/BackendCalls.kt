package ragwortbarrow.entry

import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.withTimeoutOrNull
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.serverlimit.ServerLimits
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.http.HttpAnswer
import ragwortbarrow.http.HttpClientConnection
import ragwortbarrow.http.HttpClientPool
import ragwortbarrow.http.HttpFailure
import ragwortbarrow.http.HttpRequestMessage

/** A backend server's response: the decoded [head] and the [body] as it arrives. */
class StreamingResponse(
    val head: BackendResponseHead,
    val httpResponse: HttpResponse,
    val body: HttpAnswer,
    private val prompt: PromptAttempt,
) {
    /** Records that the first event, or the whole body, has arrived. */
    fun recordAnswer() = prompt.recordAnswer(head.status)

    internal fun recordFailure(failure: HttpFailure) = prompt.recordFailure(failure)
}

/** Sends requests to backend servers. A request counts as in flight until its [BackendCall] is closed. */
class BackendCalls(
    private val pool: HttpClientPool,
    private val tracker: ServerTracker,
    private val quarantine: PromptQuarantine,
    private val limits: ServerLimits,
    private val protocol: EntryProtocol,
    private val timer: TimerService,
) {
    /**
     * Sends [request] to [server] and returns when the response begins; the result is read or closed by the caller.
     * Throws [HttpFailure] or [LeftQueue]. With [requiresFreshConnection] a pooled connection is reused only shortly
     * after its last response: the server may have closed an older one, and a request that is not repeatable cannot be
     * retried.
     */
    suspend fun open(
        server: BackendServer,
        request: HttpRequestMessage,
        requestId: String,
        isBatch: Boolean,
        requiresFreshConnection: Boolean,
        waitMillis: Double = 0.0,
        timeouts: ResponseHeadTimeouts = ResponseHeadTimeouts(),
        sharedPromptParts: List<String> = emptyList(),
    ): BackendCall {
        val startMillis = tracker.recordStart(server.id, isBatch, waitMillis)
        val prompt = PromptAttempt(quarantine, server.id, requestId, sharedPromptParts, timer)
        var connection: HttpClientConnection? = null
        var call: BackendCall? = null
        try {
            connection =
                pool.acquire(server.address, if (requiresFreshConnection) FRESH_SHARE else HttpClientPool.KEPT_SHARE)
            val onProgress = {
                tracker.recordActivity(server.id)
                prompt.recordActivity()
            }
            val answer = connection.send(request, onProgress) { protocol.isResponseTo(it, requestId) }
            val httpResponse = awaitHead(answer, timeouts)
            val head = protocol.parseResponseHead(httpResponse)
            // A misdirected request was answered by another server at the address.
            if (!head.isMisdirected && head.isServersOwn) limits.recordResponse(server, head.requestLimit)
            if (head.isLeaving) {
                tracker.recordLeaving(server)
                pool.drop(server.address)
            }
            val response = StreamingResponse(head, httpResponse, answer, prompt)
            call = BackendCall(server, response, isBatch, startMillis, connection, pool, tracker)
            return call
        } catch (abandoned: LeftQueue) {
            tracker.recordUnanswered(server.id)
            throw abandoned
        } catch (failure: HttpFailure) {
            recordFailure(server, failure)
            prompt.recordFailure(failure)
            throw failure
        } finally {
            if (call == null) {
                connection?.close()
                tracker.recordEnd(server.id, isBatch, startMillis)
            }
        }
    }

    private fun recordFailure(server: BackendServer, failure: HttpFailure) {
        tracker.recordFailure(server.id)
        pool.drop(server.address)
        when (failure) {
            is HttpFailure.ConnectFailed -> if (failure.isRefused) limits.recordRefusedConnection(server)
            is HttpFailure.Broken -> Unit
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
