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
 * Backend servers over HTTP.
 *
 * Every attempt has a connection of its own. A pooled connection that the server closed in the meantime would fail
 * after the request was written, and nothing could tell whether the server had read it; with a new connection a
 * refused connect proves that no byte left.
 *
 * For a stream, [BackendRequest.timeoutMillis] bounds the silence between two events; otherwise it bounds the attempt.
 */
class HttpBackendClient(
    private val connectTimeoutMillis: Long = 1_000L,
    private val controlTimeoutMillis: Long = 1_000L,
    private val maxAnswerBytes: Long = 16_000_000L,
    maxConnections: Int = 20_000,
    ioThreads: Int = 4,
) : BackendClient,
    AutoCloseable {
    // The shared dispatcher for blocking work wakes up to 64 threads, which doubles the CPU time of an attempt.
    private val io = Executors.newFixedThreadPool(ioThreads) { Thread(it, "backend-io").apply { isDaemon = true } }
        .asCoroutineDispatcher()
    private val http = HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        useDefaultTransformers = false
        install(HttpTimeout)
        engine {
            dispatcher = io
            // The bound of each attempt is set by HttpTimeout.
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
            fill(server, request)
            timeout {
                connectTimeoutMillis = this@HttpBackendClient.connectTimeoutMillis
                requestTimeoutMillis = request.timeoutMillis
            }
        }.execute { response -> response.wholeAnswer(request.requestId) }
    } catch (e: Exception) {
        e.asOutcome()
    }

    override fun stream(server: BackendServer, request: BackendRequest): Flow<StreamEvent> =
        events(request.requestId, fromOffset = 0) {
            fill(server, request)
            silenceTimeout(request.timeoutMillis)
        }

    override fun resume(server: BackendServer, requestId: RequestId, fromOffset: Long): Flow<StreamEvent> =
        events(requestId, fromOffset) {
            method = HttpMethod.Get
            url("${server.url.trimEnd('/')}/v1/streams/${requestId.value}")
            header(BackendHeaders.REQUEST_ID, requestId.value)
            header("Last-Event-ID", fromOffset)
            silenceTimeout(BackendRequest(requestId, "GET", "").timeoutMillis)
        }

    override suspend fun cancel(server: BackendServer, requestId: RequestId) {
        control(server, "/v1/streams/${requestId.value}", HttpMethod.Delete) { }
    }

    override suspend fun fetchLoadReport(server: BackendServer): Result<LoadReport, ServingError> =
        control(server, "/load", HttpMethod.Get) { response ->
            val body = response.bodyAsChannel().readRemaining(maxAnswerBytes).readByteArray().decodeToString()
            lenientJson.decodeFromString<LoadBody>(body).toReport()
        }

    override fun close() {
        http.close()
        // The engine closes its selector on these threads before they end.
        http.coroutineContext.job.invokeOnCompletion { io.close() }
    }

    private fun events(
        requestId: RequestId,
        fromOffset: Long,
        fill: HttpRequestBuilder.() -> Unit,
    ): Flow<StreamEvent> = flow {
        // Set once events flow, so that a failure of the collector is not taken for one of the connection.
        var final: StreamEvent? = null
        try {
            http.prepareRequest(fill).execute { response ->
                val isStream = response.status == HttpStatusCode.OK &&
                    response.contentType()?.match(ContentType.Text.EventStream) == true
                final = when {
                    !isStream -> response.wholeAnswer(requestId).asEvent()
                    else -> response.echoFault(requestId)?.let { StreamEvent.Broken(it) } ?: relay(response, fromOffset)
                }
            }
        } catch (e: CollectorFailure) {
            throw e.failure
        } catch (e: Exception) {
            final = StreamEvent.Broken(e.asOutcome())
        }
        final?.let { emit(it) }
    }

    /** Emits the chunks of [response] and returns the final event. */
    private suspend fun FlowCollector<StreamEvent>.relay(response: HttpResponse, fromOffset: Long): StreamEvent {
        val channel = response.bodyAsChannel()
        val parser = EventStreamParser()
        val check = StreamCheck(fromOffset)
        while (true) {
            val line = channel.readUTF8Line(MAX_LINE_CHARS)
                ?: return StreamEvent.Broken(AttemptOutcome.Unknown("the stream ended without [DONE]"))
            val event = parser.accept(line)?.let { check.accept(it) } ?: continue
            if (event !is StreamEvent.Chunk) return event
            try {
                emit(event)
            } catch (e: Exception) {
                throw CollectorFailure(e)
            }
        }
    }

    private fun HttpRequestBuilder.fill(server: BackendServer, request: BackendRequest) {
        method = HttpMethod.parse(request.method)
        url(server.url.trimEnd('/') + request.pathAndQuery)
        BackendHeaders.forwarded(request.headers).forEach { header(it.name, it.value) }
        header(BackendHeaders.REQUEST_ID, request.requestId.value)
        if (request.body.isNotEmpty() || method == HttpMethod.Post || method == HttpMethod.Put) {
            val type = request.headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }?.value
            setBody(ByteArrayContent(request.body, type?.let { ContentType.parse(it) }))
        }
    }

    private fun HttpRequestBuilder.silenceTimeout(millis: Long) = timeout {
        connectTimeoutMillis = this@HttpBackendClient.connectTimeoutMillis
        socketTimeoutMillis = millis
    }

    private suspend fun HttpResponse.wholeAnswer(requestId: RequestId): AttemptOutcome {
        echoFault(requestId)?.let { return it }
        val body = bodyAsChannel().readRemaining(maxAnswerBytes + 1).readByteArray()
        if (body.size > maxAnswerBytes) return AttemptOutcome.Mismatch("the answer exceeds $maxAnswerBytes bytes")
        incompleteness(body.size)?.let { return AttemptOutcome.Mismatch(it) }
        val refused = status == HttpStatusCode.ServiceUnavailable &&
            headers[BackendHeaders.EXECUTION].equals(BackendHeaders.NOT_RUN, ignoreCase = true)
        if (refused) return AttemptOutcome.NotRun("the backend server refused the request without running it")
        return AttemptOutcome.Answered(BackendResponse(status.value, returnedHeaders(), body))
    }

    private fun HttpResponse.echoFault(requestId: RequestId): AttemptOutcome? {
        val echo = headers[BackendHeaders.REQUEST_ID]
        return when (echo) {
            requestId.value -> null
            null -> AttemptOutcome.Mismatch("the answer has no ${BackendHeaders.REQUEST_ID}")
            else -> AttemptOutcome.Mismatch("the answer belongs to request $echo")
        }
    }

    /** Why a body of [bodyBytes] is not proved to be complete; chunked bodies that end early throw while being read. */
    private fun HttpResponse.incompleteness(bodyBytes: Int): String? {
        val announcedBytes = contentLength()
        val bodiless = request.method == HttpMethod.Head || status.value in setOf(204, 304)
        return when {
            bodiless -> null

            announcedBytes != null ->
                "the answer has $bodyBytes of $announcedBytes bytes".takeIf { bodyBytes.toLong() != announcedBytes }

            headers[HttpHeaders.TransferEncoding].equals("chunked", ignoreCase = true) -> null

            else -> "the answer has neither a length nor chunks, so its end is not certain"
        }
    }

    private fun HttpResponse.returnedHeaders(): List<HttpHeader> = headers.entries()
        .filter { BackendHeaders.returned(it.key) }
        .flatMap { (name, values) -> values.map { HttpHeader(name, it) } }

    private suspend fun <T> control(
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

    private fun AttemptOutcome.asEvent(): StreamEvent =
        if (this is AttemptOutcome.Answered) StreamEvent.Answered(response) else StreamEvent.Broken(this)

    private suspend fun Exception.asOutcome(): AttemptOutcome {
        // A cancelled caller ends here; Ktor may also throw CancellationException when only the connection ended.
        currentCoroutineContext().ensureActive()
        return FailureKind.of(this).outcome(this)
    }

    private class CollectorFailure(val failure: Exception) : CancellationException("the collector ended the stream")

    @Serializable
    private data class LoadBody(val running: Int, val waiting: Int, val slots: Int, val ageMillis: Long = 0) {
        fun toReport() = LoadReport(running, waiting, slots, ageMillis)
    }

    private companion object {
        const val MAX_LINE_CHARS = 1_000_000
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
