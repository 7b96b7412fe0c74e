package ragwortbarrow.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.request
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.contentLength
import io.ktor.http.contentType
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.job
import kotlinx.io.readByteArray
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendClient
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.HttpHeader
import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.backend.StreamEvent
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.manifest.BackendServer
import java.util.concurrent.Executors

/**
 * Sends requests to backend servers over HTTP.
 *
 * Every attempt uses a new connection. If the server had closed a pooled connection in the meantime, the request would
 * fail after it was written, and it would be unknown whether the server had read it. If a new connection cannot be
 * established, no byte of the request was sent.
 *
 * For a stream, [BackendRequest.timeoutMillis] limits the time between two events; otherwise it limits the attempt.
 */
class HttpBackendClient(
    private val connectTimeoutMillis: Long = 1_000L,
    private val controlTimeoutMillis: Long = 1_000L,
    private val maxResponseBytes: Long = 16_000_000L,
    maxConnections: Int = 20_000,
    ioThreads: Int = 4,
) : BackendClient,
    AutoCloseable {
    // Dispatchers.IO wakes up to 64 threads, which doubles the CPU time of an attempt.
    private val ioDispatcher =
        Executors.newFixedThreadPool(ioThreads) { Thread(it, "backend-io").apply { isDaemon = true } }
            .asCoroutineDispatcher()
    private val http = HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        useDefaultTransformers = false
        install(HttpTimeout)
        engine {
            dispatcher = ioDispatcher
            // HttpTimeout sets the timeout of each attempt.
            requestTimeout = 0
            maxConnectionsCount = maxConnections
            endpoint {
                maxConnectionsPerRoute = maxConnections
                connectAttempts = 1
                connectTimeout = connectTimeoutMillis
            }
        }
    }

    override suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome = try {
        http.prepareRequest {
            applyRequest(server, request)
            timeout {
                connectTimeoutMillis = this@HttpBackendClient.connectTimeoutMillis
                requestTimeoutMillis = request.timeoutMillis
            }
        }.execute { response -> response.readOutcome(request.requestId) }
    } catch (e: Exception) {
        e.toOutcome()
    }

    override fun stream(server: BackendServer, request: BackendRequest): Flow<StreamEvent> =
        events(request.requestId, fromOffset = 0) {
            applyRequest(server, request)
            idleTimeout(request.timeoutMillis)
        }

    override fun resume(server: BackendServer, requestId: RequestId, fromOffset: Long): Flow<StreamEvent> =
        events(requestId, fromOffset) {
            method = HttpMethod.Get
            url("${server.url.trimEnd('/')}/v1/streams/${requestId.value}")
            header(BackendHeaders.REQUEST_ID, requestId.value)
            header("Last-Event-ID", fromOffset)
            idleTimeout(BackendRequest(requestId, "GET", "").timeoutMillis)
        }

    override suspend fun cancel(server: BackendServer, requestId: RequestId) {
        sendControlRequest(server, "/v1/streams/${requestId.value}", HttpMethod.Delete) { }
    }

    override suspend fun fetchLoadReport(server: BackendServer): Result<LoadReport, ServingError> =
        sendControlRequest(server, "/load", HttpMethod.Get) { response ->
            val body = response.bodyAsChannel().readRemaining(maxResponseBytes).readByteArray().decodeToString()
            lenientJson.decodeFromString<LoadResponse>(body).toReport()
        }

    override fun close() {
        http.close()
        // The Ktor engine closes its selector on these threads, so they have to outlive it.
        http.coroutineContext.job.invokeOnCompletion { ioDispatcher.close() }
    }

    private fun events(
        requestId: RequestId,
        fromOffset: Long,
        configure: HttpRequestBuilder.() -> Unit,
    ): Flow<StreamEvent> = flow {
        // Emitted outside the try block, so that a failure of the collector is not taken for one of the connection.
        var finalEvent: StreamEvent? = null
        try {
            http.prepareRequest(configure).execute { response ->
                val isStream = response.status == HttpStatusCode.OK &&
                    response.contentType()?.match(ContentType.Text.EventStream) == true
                finalEvent = when {
                    !isStream -> response.readOutcome(requestId).toEvent()
                    else -> response.requestIdMismatch(requestId)?.let { StreamEvent.Broken(it) }
                        ?: emitChunks(response, fromOffset)
                }
            }
        } catch (e: CollectorException) {
            throw e.failure
        } catch (e: Exception) {
            finalEvent = StreamEvent.Broken(e.toOutcome())
        }
        finalEvent?.let { emit(it) }
    }

    /** Emits the chunks of [response] and returns the final event. */
    private suspend fun FlowCollector<StreamEvent>.emitChunks(response: HttpResponse, fromOffset: Long): StreamEvent {
        val channel = response.bodyAsChannel()
        val parser = EventStreamParser()
        val offsetValidator = StreamOffsetValidator(fromOffset)
        while (true) {
            val line = channel.readUTF8Line(MAX_LINE_CHARS)
                ?: return StreamEvent.Broken(AttemptOutcome.Unknown("the stream ended without [DONE]"))
            val event = parser.accept(line)?.let { offsetValidator.accept(it) } ?: continue
            if (event !is StreamEvent.Chunk) return event
            try {
                emit(event)
            } catch (e: Exception) {
                throw CollectorException(e)
            }
        }
    }

    private fun HttpRequestBuilder.applyRequest(server: BackendServer, request: BackendRequest) {
        method = HttpMethod.parse(request.method)
        url(server.url.trimEnd('/') + request.pathAndQuery)
        BackendHeaders.forwardable(request.headers).forEach { header(it.name, it.value) }
        header(BackendHeaders.REQUEST_ID, request.requestId.value)
        if (request.body.isNotEmpty() || method == HttpMethod.Post || method == HttpMethod.Put) {
            val type = request.headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }?.value
            setBody(ByteArrayContent(request.body, type?.let { ContentType.parse(it) }))
        }
    }

    private fun HttpRequestBuilder.idleTimeout(millis: Long) = timeout {
        connectTimeoutMillis = this@HttpBackendClient.connectTimeoutMillis
        socketTimeoutMillis = millis
    }

    private suspend fun HttpResponse.readOutcome(requestId: RequestId): AttemptOutcome {
        requestIdMismatch(requestId)?.let { return it }
        val body = bodyAsChannel().readRemaining(maxResponseBytes + 1).readByteArray()
        if (body.size > maxResponseBytes) return AttemptOutcome.Mismatch("the response exceeds $maxResponseBytes bytes")
        incompleteBodyReason(body.size)?.let { return AttemptOutcome.Mismatch(it) }
        val refused = status == HttpStatusCode.ServiceUnavailable &&
            headers[BackendHeaders.EXECUTION].equals(BackendHeaders.NOT_RUN, ignoreCase = true)
        if (refused) return AttemptOutcome.NotRun("the backend server refused the request without executing it")
        return AttemptOutcome.Answered(BackendResponse(status.value, returnedHeaders(), body))
    }

    private fun HttpResponse.requestIdMismatch(requestId: RequestId): AttemptOutcome? {
        val responseId = headers[BackendHeaders.REQUEST_ID]
        return when (responseId) {
            requestId.value -> null
            null -> AttemptOutcome.Mismatch("the response has no ${BackendHeaders.REQUEST_ID} header")
            else -> AttemptOutcome.Mismatch("the response belongs to request $responseId")
        }
    }

    /**
     * Returns why a body of [bodyBytes] may be incomplete, or null if it is complete. Chunked bodies that end early
     * throw while they are read.
     */
    private fun HttpResponse.incompleteBodyReason(bodyBytes: Int): String? {
        val declaredBytes = contentLength()
        val hasNoBody = request.method == HttpMethod.Head || status.value in setOf(204, 304)
        return when {
            hasNoBody -> null

            declaredBytes != null ->
                "the response has $bodyBytes of $declaredBytes bytes".takeIf { bodyBytes.toLong() != declaredBytes }

            headers[HttpHeaders.TransferEncoding].equals("chunked", ignoreCase = true) -> null

            else -> "the response has neither a content length nor chunked encoding, so it may be truncated"
        }
    }

    private fun HttpResponse.returnedHeaders(): List<HttpHeader> = headers.entries()
        .filter { BackendHeaders.isReturned(it.key) }
        .flatMap { (name, values) -> values.map { HttpHeader(name, it) } }

    private suspend fun <T> sendControlRequest(
        server: BackendServer,
        path: String,
        method: HttpMethod,
        read: suspend (HttpResponse) -> T,
    ): Result<T, ServingError> = try {
        http.prepareRequest {
            this.method = method
            url(server.url.trimEnd('/') + path)
            timeout {
                connectTimeoutMillis = this@HttpBackendClient.connectTimeoutMillis
                requestTimeoutMillis = controlTimeoutMillis
            }
        }.execute { Ok(read(it)) }
    } catch (e: Exception) {
        currentCoroutineContext().ensureActive()
        val message = "$path of ${server.id}: ${e.message}"
        Err(ServingError.BackendFailed(ResultCode.BACKEND_FAILED_UNKNOWN, message, Execution.UNKNOWN))
    }

    private fun AttemptOutcome.toEvent(): StreamEvent =
        if (this is AttemptOutcome.Answered) StreamEvent.Answered(response) else StreamEvent.Broken(this)

    private suspend fun Exception.toOutcome(): AttemptOutcome {
        // Rethrows if the caller was cancelled. Ktor may also throw CancellationException if only the connection ended.
        currentCoroutineContext().ensureActive()
        return FailureKind.of(this).toOutcome(this)
    }

    private class CollectorException(val failure: Exception) : CancellationException("the collector failed")

    @Serializable
    private data class LoadResponse(val running: Int, val waiting: Int, val slots: Int, val ageMillis: Long = 0) {
        fun toReport() = LoadReport(running, waiting, slots, ageMillis)
    }

    private companion object {
        const val MAX_LINE_CHARS = 1_000_000
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
