package ragwortbarrow.core.backend

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.manifest.BackendServer

/** Attempts on backend servers. Every function is one attempt: retries are decided in the core. */
interface BackendClient {
    /** Sends [request] and collects the whole answer. */
    suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome

    /** Sends [request] and delivers the answer as it is generated; the flow ends after a final event. */
    fun stream(server: BackendServer, request: BackendRequest): Flow<StreamEvent>

    /** Continues the stream of [requestId] at the token with offset [fromOffset]. */
    fun resume(server: BackendServer, requestId: RequestId, fromOffset: Long): Flow<StreamEvent>

    /** Asks the engine to stop a request; best effort. */
    suspend fun cancel(server: BackendServer, requestId: RequestId)

    /** Reads the engine's load report, which lags behind the truth. */
    suspend fun fetchLoadReport(server: BackendServer): Result<LoadReport, ServingError>
}

/** One HTTP header; names compare without case. */
data class HttpHeader(val name: String, val value: String)

/** A request as it is sent to a backend server; it never contains the caller's key. */
class BackendRequest(
    val requestId: RequestId,
    val method: String,
    val pathAndQuery: String,
    val headers: List<HttpHeader> = emptyList(),
    val body: ByteArray = ByteArray(0),
    val timeoutMillis: Long = 60_000L,
)

/** A complete answer of a backend server. */
class BackendResponse(val status: Int, val headers: List<HttpHeader>, val body: ByteArray)

/** How one attempt ended. */
sealed interface AttemptOutcome {
    data class Answered(val response: BackendResponse) : AttemptOutcome

    /** No byte of the request left this process, or the backend server says that it did not run it. */
    data class NotRun(val reason: String) : AttemptOutcome

    /** Bytes of the request may have reached the backend server and no complete answer came. */
    data class Unknown(val reason: String, val timedOut: Boolean = false) : AttemptOutcome

    /** The answer names another request or is incomplete; it must not be given to the caller. */
    data class Mismatch(val reason: String) : AttemptOutcome
}

/** One event of a streamed answer. */
sealed interface StreamEvent {
    /** The server-sent event [data] at position [offset]; offsets count from 0 without gaps. */
    data class Chunk(val offset: Long, val data: String) : StreamEvent

    /** The engine finished the stream; [endOffset] is the number of chunks. */
    data class Completed(val endOffset: Long) : StreamEvent

    /** The backend server answered with something else than a stream. */
    data class Answered(val response: BackendResponse) : StreamEvent

    /** The attempt ended early; [outcome] is never [AttemptOutcome.Answered]. */
    data class Broken(val outcome: AttemptOutcome) : StreamEvent
}

/** An engine's load as it reported it; all numbers are requests. */
data class LoadReport(val running: Int, val waiting: Int, val slots: Int, val ageMillis: Long = 0)
