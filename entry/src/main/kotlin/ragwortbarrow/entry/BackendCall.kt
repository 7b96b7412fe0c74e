package ragwortbarrow.entry

import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.http.HttpClientConnection
import ragwortbarrow.http.HttpClientPool
import ragwortbarrow.http.HttpFailure

/**
 * A request to [server] whose response has begun. Unless the response is read to its end, closing the call closes the
 * connection, so that the server stops work whose result nobody reads.
 */
class BackendCall internal constructor(
    val server: BackendServer,
    val response: StreamingResponse,
    private val isBatch: Boolean,
    private val startMillis: Long,
    private val connection: HttpClientConnection,
    private val pool: HttpClientPool,
    private val tracker: ServerTracker,
) {
    private var isClosed = false

    init {
        tracker.recordResponseStart(server.id)
    }

    /**
     * Whether the request may be sent to the address again under the same id: a batch item after a failure, and any
     * request after a 421 to the new server at the address. A late second copy of the response would look like the
     * response to that one, so the connection is not used again.
     */
    private val mayGetSameRequest: Boolean
        get() = with(response.head) { isMisdirected || isBatch && status !in 200..299 }

    /** Passes the response to [block] and closes the call. */
    suspend fun <T> read(block: suspend (StreamingResponse) -> T): T {
        try {
            return block(response).also { close(mayReuse = !mayGetSameRequest) }
        } catch (failure: HttpFailure) {
            abandon()
            response.recordFailure(failure)
            throw failure
        } finally {
            close()
        }
    }

    /** Closes the call because the server failed. */
    fun abandon() {
        if (isClosed) return
        tracker.recordFailure(server.id)
        pool.drop(server.address)
        close()
    }

    fun close(mayReuse: Boolean = false) {
        if (isClosed) return
        isClosed = true
        tracker.recordResponseEnd(server.id)
        if (mayReuse) pool.release(connection) else connection.close()
        tracker.recordEnd(server.id, isBatch, startMillis)
    }
}
