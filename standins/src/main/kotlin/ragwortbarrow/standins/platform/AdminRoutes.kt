package ragwortbarrow.standins.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

private val adminJson = Json { encodeDefaults = true }

/** Admin routes of the test server; the real platform has no equivalent. */
internal fun Route.adminRoutes(server: PlatformServer) = route("/dev") {
    route("/faults") {
        get { call.respondJson(adminJson.encodeToString(server.faults)) }
        put {
            call.withBody { server.faults = adminJson.decodeFromString<PlatformFaults>(it) }
        }
    }
    route("/calls") {
        get { call.respondJson(adminJson.encodeToString(server.calls.report())) }
        delete {
            server.calls.clear()
            call.respond(HttpStatusCode.NoContent)
        }
    }
    route("/vms/{name}") {
        put {
            call.withBody { server.putVm(call.parameters["name"].orEmpty(), adminJson.decodeFromString<VmRecord>(it)) }
        }
        delete {
            server.removeVm(call.parameters["name"].orEmpty())
            call.respond(HttpStatusCode.NoContent)
        }
    }
}

private suspend fun ApplicationCall.withBody(handle: (String) -> Unit) = try {
    handle(receiveText())
    respond(HttpStatusCode.NoContent)
} catch (failure: SerializationException) {
    respondText(failure.message.orEmpty(), status = HttpStatusCode.BadRequest)
}

private suspend fun ApplicationCall.respondJson(text: String) = respondText(text, ContentType.Application.Json)
