package ragwortbarrow.standins.faults

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import kotlinx.serialization.json.Json

/** The admin routes of a test server: `GET` and `PUT /dev/faults`, and `GET /dev/runs`. */
internal fun Route.devRoutes(faults: FaultSwitches, record: RunRecord) {
    get("/dev/faults") { call.respondJson(Json.encodeToString(faults.current())) }
    put("/dev/faults") {
        faults.set(Json.decodeFromString(call.receiveText()))
        call.respond(HttpStatusCode.NoContent)
    }
    get("/dev/runs") { call.respondJson(Json.encodeToString(record.report())) }
}

internal suspend fun ApplicationCall.respondJson(json: String, status: HttpStatusCode = HttpStatusCode.OK): Unit =
    respondText(json, ContentType.Application.Json, status)
