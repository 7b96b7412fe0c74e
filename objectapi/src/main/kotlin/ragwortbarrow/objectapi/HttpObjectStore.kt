package ragwortbarrow.objectapi

import arrow.resilience.CircuitBreaker
import arrow.resilience.Schedule
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.appendPathSegments
import io.ktor.http.contentType
import io.ktor.http.takeFrom
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.store.DeleteOptions
import ragwortbarrow.core.store.METADATA_ONLY_MEDIA_TYPE
import ragwortbarrow.core.store.OBJECT_API_PATH
import ragwortbarrow.core.store.ObjectDocument
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectListDocument
import ragwortbarrow.core.store.ObjectMetadata
import ragwortbarrow.core.store.ObjectPage
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.Preconditions
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.WatchEvent
import ragwortbarrow.core.store.storeJson
import ragwortbarrow.core.store.toStoredObject
import kotlin.time.Duration.Companion.milliseconds

/**
 * The platform's object API over HTTP: the only client of the platform in a process, so that [budget] covers all calls.
 *
 * Errors say exactly what is known of a write: [StoreError.Unavailable] only if it certainly had no effect, because the
 * connection was refused, the breaker was open or the platform said so; [StoreError.OutcomeUnknown] in every other case
 * without a readable reply.
 */
class HttpObjectStore(
    baseUrl: String,
    private val budget: CallBudget = CallBudget(),
    private val listener: StoreCallListener = StoreCallListener.NONE,
) : ObjectStore,
    AutoCloseable {
    private val base = baseUrl.trimEnd('/')
    private val client = HttpClient(CIO) {
        expectSuccess = false
        // Deadlines are set for each call; the engine's own would also end watches.
        engine { requestTimeout = 0 }
        install(HttpTimeout) { connectTimeoutMillis = budget.connectMillis }
    }
    private val inFlight = Semaphore(budget.maxCallsInFlight)
    private val breaker = CircuitBreaker(
        openingStrategy = CircuitBreaker.OpeningStrategy.Count(budget.failuresToOpen - 1),
        resetTimeout = budget.openMillis.milliseconds,
        exponentialBackoffFactor = 2.0,
        maxResetTimeout = budget.maxOpenMillis.milliseconds,
    )
    private val readSchedule: Schedule<StoreError, *> = Schedule
        .exponential<StoreError>(budget.backoffMillis.milliseconds)
        .jittered()
        .and(Schedule.recurs(budget.readAttempts - 1L))
        .doWhile { error, _ -> error is StoreError.Unavailable }

    override suspend fun get(kind: ObjectKind, name: String): Result<StoredObject, StoreError> =
        read("get", kind, { decodeObject(it, kind) }) { path(kind, name) }

    override suspend fun list(
        kind: ObjectKind,
        labels: Map<String, String>,
        limit: Int,
        continueToken: String?,
        metadataOnly: Boolean,
    ): Result<ObjectPage, StoreError> = read("list", kind, { decodePage(it, kind) }) {
        path(kind)
        parameter("limit", limit)
        parameter("continue", continueToken)
        if (labels.isNotEmpty()) {
            parameter("labelSelector", labels.entries.joinToString(",") { "${it.key}=${it.value}" })
        }
        if (metadataOnly) header(HttpHeaders.Accept, METADATA_ONLY_MEDIA_TYPE)
    }

    override suspend fun create(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        labels: Map<String, String>,
    ): Result<StoredObject, StoreError> = attempt("create", kind, { decodeObject(it, kind) }) {
        method = HttpMethod.Post
        path(kind)
        jsonBody(storeJson.encodeToString(ObjectDocument(kind.path, ObjectMetadata(name, labels = labels), spec)))
    }

    override suspend fun update(
        kind: ObjectKind,
        name: String,
        expectedVersion: Long,
        spec: JsonObject,
        labels: Map<String, String>,
    ): Result<StoredObject, StoreError> = attempt("update", kind, { decodeObject(it, kind) }) {
        method = HttpMethod.Put
        path(kind, name)
        val metadata = ObjectMetadata(name, expectedVersion.toString(), labels)
        jsonBody(storeJson.encodeToString(ObjectDocument(kind.path, metadata, spec)))
    }

    override suspend fun delete(kind: ObjectKind, name: String, expectedVersion: Long): Result<Unit, StoreError> =
        attempt("delete", kind, {}) {
            method = HttpMethod.Delete
            path(kind, name)
            jsonBody(storeJson.encodeToString(DeleteOptions(Preconditions(expectedVersion.toString()))))
        }

    override fun watch(kind: ObjectKind, fromVersion: Long, metadataOnly: Boolean): Flow<WatchEvent> =
        watchFlow(client, kind, budget.watchSilenceMillis, listener) {
            path(kind)
            parameter("watch", "true")
            parameter("resourceVersion", fromVersion)
            if (metadataOnly) header(HttpHeaders.Accept, METADATA_ONLY_MEDIA_TYPE)
        }

    override fun close(): Unit = client.close()

    private suspend fun <T> read(
        verb: String,
        kind: ObjectKind,
        decode: (String) -> T,
        build: HttpRequestBuilder.() -> Unit,
    ): Result<T, StoreError> = readSchedule.retryResult {
        attempt(verb, kind, decode, build).fold(
            { Ok(it) },
            { if (it is StoreError.OutcomeUnknown) Err(StoreError.Unavailable(it.message)) else Err(it) },
        )
    }

    private suspend fun <T> attempt(
        verb: String,
        kind: ObjectKind,
        decode: (String) -> T,
        build: HttpRequestBuilder.() -> Unit,
    ): Result<T, StoreError> = inFlight.withPermit {
        val startNanos = System.nanoTime()
        val result = breaker.guard { send(decode, build) }
        listener.called(verb, kind, outcomeName(result.getError()), System.nanoTime() - startNanos)
        result
    }

    private suspend fun <T> send(decode: (String) -> T, build: HttpRequestBuilder.() -> Unit): Result<T, StoreError> =
        try {
            withTimeoutOrNull(budget.deadlineMillis) {
                val response = client.request(build)
                resultOf(response.status, response.bodyAsText()).map(decode)
            } ?: Err(StoreError.OutcomeUnknown("no reply within ${budget.deadlineMillis} ms"))
        } catch (failure: Exception) {
            // The client reports some lost connections as cancellations, so only a cancelled caller ends here.
            currentCoroutineContext().ensureActive()
            Err(errorOf(failure))
        }

    private fun HttpRequestBuilder.path(kind: ObjectKind, name: String? = null) {
        url.takeFrom(base + OBJECT_API_PATH)
        url.appendPathSegments(listOfNotNull(kind.path, name))
    }

    private fun HttpRequestBuilder.jsonBody(text: String) {
        contentType(ContentType.Application.Json)
        setBody(text)
    }

    private fun decodeObject(text: String, kind: ObjectKind) =
        storeJson.decodeFromString<ObjectDocument>(text).toStoredObject(kind)

    private fun decodePage(text: String, kind: ObjectKind): ObjectPage {
        val list = storeJson.decodeFromString<ObjectListDocument>(text)
        return ObjectPage(
            items = list.items.map { it.toStoredObject(kind) },
            listVersion = list.metadata.resourceVersion.toLong(),
            continueToken = list.metadata.`continue`.ifEmpty { null },
        )
    }
}
