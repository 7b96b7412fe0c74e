package ragwortbarrow.standins.platform

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import ragwortbarrow.core.store.DeleteOptions
import ragwortbarrow.core.store.ListMetadata
import ragwortbarrow.core.store.METADATA_ONLY_MEDIA_TYPE
import ragwortbarrow.core.store.OBJECT_API_PATH
import ragwortbarrow.core.store.ObjectDocument
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectListDocument
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StatusDocument
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.storeJson
import ragwortbarrow.core.store.toDocument

/** The object API: `/apis/ragwortbarrow/v1/{kind}` and `/{kind}/{name}`. */
internal fun Route.objectRoutes(server: PlatformServer, bookmarkMillis: Long) = route("$OBJECT_API_PATH/{kind}") {
    get {
        if (call.queryParameters["watch"] == "true") {
            call.withFaults(server, CallVerb.WATCH) { kind -> call.respondWatch(server, kind, bookmarkMillis) }
        } else {
            call.withFaults(server, CallVerb.LIST) { kind -> call.respondList(call.readStore(server, kind), kind) }
        }
    }
    post {
        call.withFaults(server, CallVerb.CREATE) { kind ->
            val document = call.receiveObject() ?: return@withFaults
            val created = server.store.create(kind, document.metadata.name, document.spec, document.metadata.labels)
            call.respondWrite(server, kind, created, HttpStatusCode.Created) {
                storeJson.encodeToString(it.toDocument())
            }
        }
    }
    route("/{name}") {
        get {
            call.withFaults(server, CallVerb.GET) { kind ->
                call.readStore(server, kind).get(kind, call.name()).fold(
                    { call.respondJson(storeJson.encodeToString(it.toDocument())) },
                    { call.respondError(it) },
                )
            }
        }
        put {
            call.withFaults(server, CallVerb.UPDATE) { kind ->
                val document = call.receiveObject() ?: return@withFaults
                val expected = document.metadata.resourceVersion.toLongOrNull()
                    ?: return@withFaults call.respondError(StoreError.Rejected("metadata.resourceVersion is missing"))
                val updated =
                    server.store.update(kind, call.name(), expected, document.spec, document.metadata.labels)
                call.respondWrite(server, kind, updated) { storeJson.encodeToString(it.toDocument()) }
            }
        }
        delete {
            call.withFaults(server, CallVerb.DELETE) { kind ->
                val body = call.receiveText().ifEmpty { "{}" }
                val expected = storeJson.decodeFromString<DeleteOptions>(body).preconditions.resourceVersion
                    ?.toLongOrNull()
                    ?: return@withFaults call.respondError(StoreError.Rejected("no resourceVersion precondition"))
                val deleted = server.store.delete(kind, call.name(), expected)
                call.respondWrite(server, kind, deleted) {
                    storeJson.encodeToString(StatusDocument(status = "Success", code = HttpStatusCode.OK.value))
                }
            }
        }
    }
}

/** Counts the call and applies the faults that precede its execution. */
private suspend fun RoutingCall.withFaults(server: PlatformServer, verb: CallVerb, body: suspend (ObjectKind) -> Unit) {
    val path = parameters["kind"]
    val kind = ObjectKind.entries.firstOrNull { it.path == path }
        ?: return respondError(StoreError.NotFound("unknown kind '$path'"))
    server.calls.add(verb, kind)
    val faults = server.faults
    val isAffected = faults.affects(kind.path)
    val isWithinRate = server.tryAcquireCall(faults.callsPerSecond)
    if (isAffected && faults.delayMillis > 0) delay(faults.delayMillis)
    val readOnly = kind == ObjectKind.VMS && verb in setOf(CallVerb.CREATE, CallVerb.UPDATE, CallVerb.DELETE)
    when {
        isAffected && faults.outage -> respondError(StoreError.Unavailable("the platform is unavailable"))
        !isWithinRate -> respondStatus(HttpStatusCode.TooManyRequests, "TooManyRequests", "call rate limit exceeded")
        readOnly -> respondStatus(HttpStatusCode.MethodNotAllowed, "MethodNotAllowed", "the VM list is read-only")
        else -> body(kind)
    }
}

private fun RoutingCall.readStore(server: PlatformServer, kind: ObjectKind): ObjectStore {
    val state = server.faultState.value
    return state.stale?.takeIf { state.faults.affects(kind.path) } ?: server.store
}

private suspend fun RoutingCall.respondList(store: ObjectStore, kind: ObjectKind) {
    val labels = queryParameters["labelSelector"].orEmpty().split(',').filter { '=' in it }
        .associate { it.substringBefore('=') to it.substringAfter('=') }
    val page = store.list(
        kind = kind,
        labels = labels,
        limit = queryParameters["limit"]?.toIntOrNull() ?: Int.MAX_VALUE,
        continueToken = queryParameters["continue"],
        metadataOnly = isMetadataOnly(),
    )
    page.fold(
        {
            val metadata = ListMetadata(it.listVersion.toString(), it.continueToken.orEmpty())
            val document = ObjectListDocument(metadata = metadata, items = it.items.map(StoredObject::toDocument))
            respondJson(storeJson.encodeToString(document))
        },
        { respondError(it) },
    )
}

private suspend fun <T> RoutingCall.respondWrite(
    server: PlatformServer,
    kind: ObjectKind,
    result: Result<T, StoreError>,
    status: HttpStatusCode = HttpStatusCode.OK,
    text: (T) -> String,
) {
    if (server.shouldDropResponse(kind)) {
        // To the client a lost response looks like a closed connection.
        (pipelineCall.engineCall as NettyApplicationCall).context.close()
        return
    }
    result.fold({ respondJson(text(it), status) }, { respondError(it) })
}

private suspend fun RoutingCall.receiveObject(): ObjectDocument? = try {
    storeJson.decodeFromString<ObjectDocument>(receiveText())
} catch (failure: SerializationException) {
    respondError(StoreError.Rejected("the body is not an object: ${failure.message}"))
    null
}

private fun RoutingCall.name() = parameters["name"].orEmpty()

internal fun ApplicationCall.isMetadataOnly() =
    request.header(HttpHeaders.Accept).orEmpty().contains(METADATA_ONLY_MEDIA_TYPE.substringBefore(";g="))

private suspend fun ApplicationCall.respondJson(text: String, status: HttpStatusCode = HttpStatusCode.OK) =
    respondText(text, ContentType.Application.Json, status)

internal suspend fun ApplicationCall.respondError(error: StoreError) = when (error) {
    is StoreError.NotFound -> respondStatus(HttpStatusCode.NotFound, "NotFound", error.message)
    is StoreError.AlreadyExists -> respondStatus(HttpStatusCode.Conflict, "AlreadyExists", error.message)
    is StoreError.Conflict -> respondStatus(HttpStatusCode.Conflict, "Conflict", error.message)
    is StoreError.Rejected -> respondStatus(HttpStatusCode.UnprocessableEntity, "Invalid", error.message)
    is StoreError.Unavailable ->
        respondStatus(HttpStatusCode.ServiceUnavailable, "ServiceUnavailable", error.message)
    is StoreError.OutcomeUnknown -> respondStatus(HttpStatusCode.GatewayTimeout, "Timeout", error.message)
}

internal suspend fun ApplicationCall.respondStatus(code: HttpStatusCode, reason: String, message: String) =
    respondJson(storeJson.encodeToString(StatusDocument(reason = reason, message = message, code = code.value)), code)
