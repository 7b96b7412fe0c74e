package ragwortbarrow.entry

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.jobs.BatchItem
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.http.HttpRequestMessage

/** What every call of a caller carries. */
data class CallerRequestHead(
    val requestId: String,
    /** The host without a port. */
    val host: String,
    val path: String,
    val key: String?,
    /** How long the caller waits; null if it does not say. */
    val deadlineMillis: Long?,
    /** The event after which a stream goes on; null for a request from the start. */
    val lastEventId: Long?,
)

/** What a caller asks for. */
sealed interface CallerOperation {
    /** A request for a backend server, or a batch job, as its route says. */
    data object Routed : CallerOperation

    data class ReadResults(val job: String, val after: Int, val waitMillis: Long) : CallerOperation

    data class ReadItem(val job: String, val item: String) : CallerOperation

    data class CancelJob(val job: String) : CallerOperation

    data class Malformed(val message: String) : CallerOperation
}

/** What a backend server says in the head of its answer. */
data class BackendResponseHead(
    val status: Int,
    /** Whether the server vouches for the answer as its own. */
    val hasServerStamp: Boolean,
    /** Whether the server says that it did not run the request. */
    val isNotRun: Boolean,
    val isEventStream: Boolean,
)

/** What a request to a backend server carries besides the caller's own headers. */
data class BackendRequestHead(
    val server: BackendServerId,
    val deadlineMillis: Long?,
    val customer: String?,
    val lastEventId: Long?,
)

/** Translates between HTTP messages on the wire and what the entry node means by them. */
interface EntryProtocol {
    fun parseHead(request: HttpRequestMessage): CallerRequestHead

    fun parseOperation(request: HttpRequestMessage): CallerOperation

    /** The items of a batch job, or null if the body is not one. */
    fun parseBatchItems(body: ByteArray): List<BatchItem>?

    fun encodeResultsPage(total: Int, after: Int, results: List<ItemResult>): ByteArray

    /** The request of a caller as a backend server gets it. */
    fun backendRequest(request: HttpRequestMessage, head: BackendRequestHead): HttpRequestMessage

    /** The request for a batch item as a backend server gets it. */
    fun itemRequest(item: BatchItem, host: String, head: BackendRequestHead): HttpRequestMessage

    fun parseResponseHead(response: HttpResponse): BackendResponseHead

    /** Whether an answer on a connection is the one to the request with [requestId]. */
    fun isResponseTo(response: HttpResponse, requestId: String): Boolean

    /** Headers of a backend server's answer that go on to the caller. */
    fun endToEndHeaders(response: HttpResponse): HttpHeaders
}
