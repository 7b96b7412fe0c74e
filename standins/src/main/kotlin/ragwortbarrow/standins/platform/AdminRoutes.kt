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

/** Switches of the stand-in itself; the real platform has nothing like it. */
internal fun Route.adminRoutes(server: PlatformServer) = route("/dev") {
    route("/faults") {
        get { call.respondJson(adminJson.encodeToString(server.faults)) }
        put {
            call.decoded { server.faults = adminJson.decodeFromString<PlatformFaults>(it) }
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
            call.decoded { server.putVm(call.parameters["name"].orEmpty(), adminJson.decodeFromString<VmRecord>(it)) }
        }
        delete {
            server.removeVm(call.parameters["name"].orEmpty())
            call.respond(HttpStatusCode.NoContent)
        }
    }
}

private suspend fun ApplicationCall.decoded(take: (String) -> Unit) = try {
    take(receiveText())
    respond(HttpStatusCode.NoContent)
} catch (failure: SerializationException) {
    respondText(failure.message.orEmpty(), status = HttpStatusCode.BadRequest)
}

private suspend fun ApplicationCall.respondJson(text: String) = respondText(text, ContentType.Application.Json)
