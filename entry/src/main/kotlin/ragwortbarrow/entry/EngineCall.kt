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

/** The head of an answer, decoded, and the rest of it as it comes. */
class EngineAnswer(val head: BackendResponseHead, val response: HttpResponse, val body: HttpAnswer)

/**
 * One request on one backend server. [run] counts it on the board for as long as it lasts and closes its connection
 * unless the answer was read to its end, so that the server stops work that nobody waits for.
 */
class EngineCalls(
    private val pool: HttpClientPool,
    private val board: ServerTracker,
    private val protocol: EntryProtocol,
) {
    /**
     * Sends [request] to [server] and hands the answer to [read]. Throws [HttpFailure] or [LeftQueue]. With [onlyFresh]
     * a kept connection is used only shortly after its last answer: a request that may not run twice cannot be repeated
     * when the server has closed the connection meanwhile.
     */
    suspend fun <T> run(
        server: BackendServer,
        request: HttpRequestMessage,
        requestId: String,
        isBatch: Boolean,
        onlyFresh: Boolean,
        waitMillis: Double = 0.0,
        limits: HeadLimits = HeadLimits(),
        read: suspend (EngineAnswer) -> T,
    ): T {
        val startMillis = board.recordStart(server.id, isBatch, waitMillis)
        var connection: HttpClientConnection? = null
        try {
            connection = pool.acquire(server.address, if (onlyFresh) FRESH_SHARE else HttpClientPool.KEPT_SHARE)
            val answer = connection.send(request, {
                board.recordActivity(server.id)
            }) { protocol.isResponseTo(it, requestId) }
            val response = head(answer, limits)
            board.recordResponseStart(server.id)
            val result = try {
                read(EngineAnswer(protocol.parseResponseHead(response), response, answer))
            } finally {
                board.recordResponseEnd(server.id)
            }
            pool.release(connection)
            connection = null
            return result
        } catch (left: LeftQueue) {
            board.recordUnanswered(server.id)
            throw left
        } catch (failure: HttpFailure) {
            board.recordFailure(server.id)
            pool.drop(server.address)
            throw failure
        } finally {
            connection?.close()
            board.recordEnd(server.id, isBatch, startMillis)
        }
    }

    private suspend fun head(answer: HttpAnswer, limits: HeadLimits): HttpResponse {
        var leftMillis = limits.limitMillis
        if (limits.patienceMillis < leftMillis) {
            withTimeoutOrNull(limits.patienceMillis) { answer.head() }?.let { return it }
            if (limits.mayLeave()) throw LeftQueue(limits.patienceMillis)
            leftMillis -= limits.patienceMillis
        }
        return withTimeoutOrNull(leftMillis) { answer.head() }
            ?: throw HttpFailure.Broken("no answer within ${limits.limitMillis} ms")
    }

    private companion object {
        /** The share of a server's keep-alive time within which a connection counts as fresh. */
        const val FRESH_SHARE = 0.5
    }
}
