package ragwortbarrow.entry

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.jobs.BatchItem
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.http.HttpRequestMessage

/** Decoded headers common to all requests of callers. */
data class CallerHead(
    val requestId: String,
    /** Host without the port. */
    val host: String,
    val path: String,
    val key: String?,
    /** How long the caller waits; null if not specified. */
    val deadlineMillis: Long?,
    /** Event after which a stream is to be resumed; null for a stream from its start. */
    val lastEventId: Long?,
)

/** Operation that a caller requests. */
sealed interface CallerCall {
    /** An online request or the submission of a batch job, depending on its route. */
    data object Routed : CallerCall

    data class ReadResults(val job: String, val after: Int, val waitMillis: Long) : CallerCall

    data class ReadItem(val job: String, val item: String) : CallerCall

    data class EndJob(val job: String) : CallerCall

    data class Malformed(val message: String) : CallerCall
}

/** Decoded head of a backend server's response. */
data class AnswerHead(
    val status: Int,
    /** Whether the response carries the stamp that marks it as the server's own. */
    val isVouched: Boolean,
    /** Whether the server states that it did not run the request. */
    val isNotRun: Boolean,
    val isEventStream: Boolean,
)

/** Headers that the entry node adds to a request to a backend server. */
data class EngineHead(
    val server: BackendServerId,
    val deadlineMillis: Long?,
    val customer: String?,
    val lastEventId: Long?,
)

/** Converts between HTTP messages on the wire and the types of the entry node. */
interface EntryProtocol {
    fun head(request: HttpRequestMessage): CallerHead

    fun call(request: HttpRequestMessage): CallerCall

    /** Items of a batch job, or null if [body] is malformed. */
    fun batchItems(body: ByteArray): List<BatchItem>?

    fun resultsPage(total: Int, after: Int, results: List<ItemResult>): ByteArray

    /** The caller's [request] as it is sent to a backend server. */
    fun forwarded(request: HttpRequestMessage, head: EngineHead): HttpRequestMessage

    /** The request for a batch [item] as it is sent to a backend server. */
    fun itemRequest(item: BatchItem, host: String, head: EngineHead): HttpRequestMessage

    fun answerHead(response: HttpResponse): AnswerHead

    /** Whether [response] belongs to the request with [requestId]. */
    fun belongs(response: HttpResponse, requestId: String): Boolean

    /** Headers of a backend server's response that are passed to the caller. */
    fun passedOn(response: HttpResponse): HttpHeaders
}
