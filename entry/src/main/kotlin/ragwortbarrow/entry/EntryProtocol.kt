package ragwortbarrow.entry

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.jobs.BatchItem
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.serverlimit.RequestLimit
import ragwortbarrow.http.HttpRequestMessage

/** Decoded headers common to all requests of callers. */
data class CallerRequestHead(
    val requestId: String,
    /** Host without the port. */
    val host: String,
    val path: String,
    val key: String?,
    /** How long the caller waits; null if not specified. */
    val deadlineMillis: Long?,
    /** Event after which a stream is to be resumed; null for a stream from its start. */
    val lastEventId: Long?,
    /** Ids of the parts that the prompt may share with others, in order: all but the last one. */
    val sharedPromptParts: List<String> = emptyList(),
)

/** Operation that a caller requests. */
sealed interface CallerOperation {
    /** An online request or the submission of a batch job, depending on its route. */
    data object Routed : CallerOperation

    data class ReadResults(val job: String, val after: Int, val waitMillis: Long) : CallerOperation

    data class ReadItem(val job: String, val item: String) : CallerOperation

    data class CancelJob(val job: String) : CallerOperation

    data class Malformed(val message: String) : CallerOperation
}

/** Decoded head of a backend server's response. */
data class BackendResponseHead(
    val status: Int,
    /** Whether the response carries the stamp that marks it as the server's own. */
    val hasServerStamp: Boolean,
    /** Whether the server states that it did not run the request. */
    val isNotRun: Boolean,
    val isEventStream: Boolean,
    /** Whether the server states that it leaves and takes no new requests. */
    val isLeaving: Boolean = false,
    /** The requests that the server takes from all nodes together. */
    val requestLimit: RequestLimit = RequestLimit.None,
    /** Id of the request to which the server responds; null if it does not say. */
    val requestId: String? = null,
) {
    /** Whether the response is a server's own stream of events. */
    val isStream: Boolean get() = isEventStream && hasServerStamp && status in 200..299

    /** False for a success without the server's stamp, which may be anybody's. */
    val isServersOwn: Boolean get() = hasServerStamp || status !in 200..299

    /** Whether another server than the expected one has answered. */
    val isMisdirected: Boolean get() = status == HttpResponseStatus.MISDIRECTED_REQUEST.code()
}

/** Headers that the entry node adds to a request to a backend server. */
data class BackendRequestHead(
    val server: BackendServerId,
    val deadlineMillis: Long?,
    val customer: String?,
    val lastEventId: Long?,
)

/** Converts between HTTP messages on the wire and the types of the entry node. */
interface EntryProtocol {
    fun parseHead(request: HttpRequestMessage): CallerRequestHead

    fun parseOperation(request: HttpRequestMessage): CallerOperation

    /** Items of a batch job, or null if [body] is malformed. */
    fun parseBatchItems(body: ByteArray): List<BatchItem>?

    /** The shared prompt parts of a batch item, as in [CallerRequestHead.sharedPromptParts]. */
    fun sharedPromptParts(item: BatchItem): List<String>

    fun encodeResultsPage(total: Int, after: Int, results: List<ItemResult>): ByteArray

    /** The caller's [request] as it is sent to a backend server. */
    fun backendRequest(request: HttpRequestMessage, head: BackendRequestHead): HttpRequestMessage

    /** The request for a batch [item] as it is sent to a backend server. */
    fun itemRequest(item: BatchItem, host: String, head: BackendRequestHead): HttpRequestMessage

    fun parseResponseHead(response: HttpResponse): BackendResponseHead

    /** Whether [response] belongs to the request with [requestId]. */
    fun isResponseTo(response: HttpResponse, requestId: String): Boolean

    /** Headers of a backend server's response that are passed to the caller. */
    fun endToEndHeaders(response: HttpResponse): HttpHeaders
}
