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

/** Installs the routes of the callers' API and the operational routes, which need no key. */
fun Application.callerApi(deps: CallerApiDependencies) {
    // Frees the slot on the backend server as soon as the caller disconnects.
    install(HttpRequestLifecycle) { cancelCallOnClose = true }
    routing {
        operationalRoutes(deps)
        post("/v1/chat/completions") { serve(deps, "chat-completions") { serveModelCall() } }
        post("/v1/completions") { serve(deps, "completions") { serveModelCall() } }
        get("/v1/models") { serve(deps, "models") { serveModels() } }
        post("/v1/files") { serve(deps, "files") { createFile() } }
        get("/v1/files/{id}") { serve(deps, "files") { getFile(id()) } }
        get("/v1/files/{id}/content") { serve(deps, "file-content") { getFileContent(id()) } }
        post("/v1/batches") { serve(deps, "batches") { createBatch() } }
        get("/v1/batches") { serve(deps, "batches") { listBatches() } }
        get("/v1/batches/{id}") { serve(deps, "batches") { getBatch(id()) } }
        post("/v1/batches/{id}/cancel") { serve(deps, "batch-cancel") { cancelBatch(id()) } }
        route("{path...}") { handle { serve(deps, "service") { serveServiceCall() } } }
    }
}

private fun Route.operationalRoutes(deps: CallerApiDependencies) {
    get("/livez") { call.respondText("ok\n") }
    get("/readyz") {
        val reason = when {
            deps.drain.isDraining -> "draining"
            deps.configuration.current == null -> "no configuration"
            !deps.keysLoaded() -> "no keys"
            !deps.canAdmit() -> "key state or accounts missing"
            else -> null
        }
        val status = if (reason == null) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText("${reason ?: "ok"}\n", status = status)
    }
    get("/metrics") { call.respondText(deps.metrics.scrape(), ContentType.parse("text/plain; version=0.0.4")) }
}

private suspend fun RoutingContext.serve(
    deps: CallerApiDependencies,
    route: String,
    handle: suspend ServedCall.() -> Result<Unit, ServingError>,
) = ServedCall(call, deps, route).serve(handle)

private fun RoutingContext.id(): String = call.parameters["id"].orEmpty()
