package ragwortbarrow.core.backend

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.manifest.BackendServer

/** Sends requests to backend servers. Every function makes a single attempt; callers decide about retries. */
interface BackendClient {
    /** Sends [request] and reads the complete response. */
    suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome

    /** Sends [request] and emits the response as it is generated; the flow ends after a final event. */
    fun stream(server: BackendServer, request: BackendRequest): Flow<StreamEvent>

    /** Resumes the stream of [requestId] at the event with offset [fromOffset]. */
    fun resume(server: BackendServer, requestId: RequestId, fromOffset: Long): Flow<StreamEvent>

    /** Asks the backend server to cancel a request; best effort. */
    suspend fun cancel(server: BackendServer, requestId: RequestId)

    /** Reads the load report of the backend server, which lags behind its actual load. */
    suspend fun fetchLoadReport(server: BackendServer): Result<LoadReport, ServingError>
}

/** One HTTP header; names are case-insensitive. */
data class HttpHeader(val name: String, val value: String)

/** A request to a backend server; it never contains the caller's key. */
class BackendRequest(
    val requestId: RequestId,
    val method: String,
    val pathAndQuery: String,
    val headers: List<HttpHeader> = emptyList(),
    val body: ByteArray = ByteArray(0),
    val timeoutMillis: Long = 60_000L,
)

/** A complete response of a backend server. */
class BackendResponse(val status: Int, val headers: List<HttpHeader>, val body: ByteArray)

/** The outcome of one attempt. */
sealed interface AttemptOutcome {
    data class Answered(val response: BackendResponse) : AttemptOutcome

    /** No byte of the request left this process, or the backend server reported that it did not execute the request. */
    data class NotRun(val reason: String) : AttemptOutcome

    /** Bytes of the request may have reached the backend server, and no complete response was received. */
    data class Unknown(val reason: String, val timedOut: Boolean = false) : AttemptOutcome

    /** The response belongs to another request or is incomplete; it must not be returned to the caller. */
    data class Mismatch(val reason: String) : AttemptOutcome
}

/** One event of a streamed response. */
sealed interface StreamEvent {
    /** The data of the server-sent event at position [offset]; offsets count from 0 without gaps. */
    data class Chunk(val offset: Long, val data: String) : StreamEvent

    /** The backend server finished the stream; [endOffset] is the number of chunks. */
    data class Completed(val endOffset: Long) : StreamEvent

    /** The backend server returned a response that is not a stream. */
    data class Answered(val response: BackendResponse) : StreamEvent

    /** The attempt failed before the stream was complete; [outcome] is never [AttemptOutcome.Answered]. */
    data class Broken(val outcome: AttemptOutcome) : StreamEvent
}

/** The load reported by a backend server, as numbers of requests. */
data class LoadReport(val running: Int, val waiting: Int, val slots: Int, val ageMillis: Long = 0)
