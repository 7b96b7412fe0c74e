package ragwortbarrow.node.http

import com.github.michaelbull.result.Result
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import ragwortbarrow.core.error.ServingError

/** The callers' API, and the operational routes that need no key. */
fun Application.callerApi(parts: CallerParts) {
    // A caller that leaves frees its slot on the backend server at once.
    install(HttpRequestLifecycle) { cancelCallOnClose = true }
    routing {
        operationalRoutes(parts)
        post("/v1/chat/completions") { serve(parts, "chat-completions") { serveModelCall() } }
        post("/v1/completions") { serve(parts, "completions") { serveModelCall() } }
        get("/v1/models") { serve(parts, "models") { serveModels() } }
        post("/v1/files") { serve(parts, "files") { createFile() } }
        get("/v1/files/{id}") { serve(parts, "files") { getFile(id()) } }
        get("/v1/files/{id}/content") { serve(parts, "file-content") { getFileContent(id()) } }
        post("/v1/batches") { serve(parts, "batches") { createBatch() } }
        get("/v1/batches") { serve(parts, "batches") { listBatches() } }
        get("/v1/batches/{id}") { serve(parts, "batches") { getBatch(id()) } }
        post("/v1/batches/{id}/cancel") { serve(parts, "batch-cancel") { cancelBatch(id()) } }
        route("{path...}") { handle { serve(parts, "service") { serveServiceCall() } } }
    }
}

private fun Route.operationalRoutes(parts: CallerParts) {
    get("/livez") { call.respondText("ok\n") }
    get("/readyz") {
        val reason = when {
            parts.drain.isDraining -> "draining"
            parts.configuration.current == null -> "no configuration"
            !parts.keysLoaded() -> "no keys"
            !parts.canAdmit() -> "key state or accounts missing"
            else -> null
        }
        val status = if (reason == null) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText("${reason ?: "ok"}\n", status = status)
    }
    get("/metrics") { call.respondText(parts.metrics.scrape(), ContentType.parse("text/plain; version=0.0.4")) }
}

private suspend fun RoutingContext.serve(
    parts: CallerParts,
    route: String,
    handle: suspend ServedCall.() -> Result<Unit, ServingError>,
) = ServedCall(call, parts, route).serve(handle)

private fun RoutingContext.id(): String = call.parameters["id"].orEmpty()
