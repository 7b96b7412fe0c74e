package ragwortbarrow.standins.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import ragwortbarrow.standins.faults.ConnectionCut
import ragwortbarrow.standins.faults.FaultSwitches
import ragwortbarrow.standins.faults.RunRecord
import ragwortbarrow.standins.faults.ServerFaults
import ragwortbarrow.standins.faults.cutConnection
import ragwortbarrow.standins.faults.refuseNotRun
import ragwortbarrow.standins.faults.respondJson
import ragwortbarrow.standins.faults.respondTruncated
import java.util.concurrent.atomic.AtomicReference

/** The HTTP routes of the engine protocol. */
internal class EngineRoutes(
    private val settings: EngineSettings,
    private val faults: FaultSwitches,
    private val record: RunRecord,
    private val batcher: ContinuousBatcher,
    private val load: LaggingLoad,
    private val crash: () -> Unit,
) {
    private val orders = EngineOrders(settings.checksFencing)
    private val runs = RecentRuns()
    private val previousRun = AtomicReference<EngineRun?>()

    fun install(route: Route) = with(route) {
        post("/v1/chat/completions") { generate(call, chat = true) }
        post("/v1/completions") { generate(call, chat = false) }
        get("/v1/streams/{requestId}") { resume(call) }
        delete("/v1/streams/{requestId}") {
            runs.get(call.parameters["requestId"].orEmpty())?.cancel()
            call.echo(call.parameters["requestId"].orEmpty())
            call.respond(HttpStatusCode.NoContent)
        }
        get("/load") { call.respondJson(loadJson()) }
        post("/orders") { order(call) }
        get("/dev/orders") { call.respondJson(Json.encodeToString(orders.all())) }
    }

    private suspend fun generate(call: ApplicationCall, chat: Boolean) {
        record.recordAuthorization(call.request.header(HttpHeaders.Authorization) != null)
        val requestId = call.request.header(REQUEST_ID).orEmpty()
        val request = EngineRequest.parse(requestId, chat, call.receiveText())
        val fault = faults.next()
        if (!fault.crossAnswers && !fault.dropRequestId) call.echo(requestId)
        when {
            fault.refuseNotRun -> call.refuseNotRun()

            request == null -> call.respondError("the request body is not a JSON object", HttpStatusCode.BadRequest)

            request.model !in settings.models -> call.respondError("no such model", HttpStatusCode.NotFound)

            fault.crashWord.isIn(request.prompt) -> {
                record.recordRun(requestId)
                crash()
                call.cutConnection()
            }

            fault.failWord.isIn(request.prompt) -> {
                record.recordRun(requestId)
                call.respondError("the prompt cannot be processed", HttpStatusCode.InternalServerError)
            }

            else -> run(call, request, fault)
        }
    }

    private suspend fun run(call: ApplicationCall, request: EngineRequest, fault: ServerFaults) {
        val tokens = EngineText.tokens(request.prompt, request.maxTokens ?: settings.defaultTokens)
        val run = EngineRun(request, tokens, System.currentTimeMillis() / 1_000)
        runs.put(request.requestId, run)
        batcher.submit(run)
        if (fault.delayMillis > 0) delay(fault.delayMillis)
        val previous = previousRun.getAndSet(run)
        val answered = if (fault.crossAnswers) previous ?: run else run
        if (fault.crossAnswers) call.echo(if (previous == null) "crossed" else previous.request.requestId)
        if (request.stream) stream(call, answered, 0, fault) else respondWhole(call, answered, fault)
    }

    private suspend fun respondWhole(call: ApplicationCall, run: EngineRun, fault: ServerFaults) {
        val complete = run.tokens.isEmpty() || run.awaitToken(run.tokens.lastIndex)
        val body = run.responses.completion(run.tokens)
        when {
            !complete -> call.respondError("the request was cancelled", HttpStatusCode.Gone)
            fault.loseReply -> call.cutConnection()
            fault.truncateBody -> call.respondTruncated(body.toByteArray())
            else -> call.respondJson(body)
        }
    }

    private suspend fun resume(call: ApplicationCall) {
        val requestId = call.parameters["requestId"].orEmpty()
        val run = runs.get(requestId)
        val fault = faults.next()
        call.echo(requestId)
        if (run == null || fault.forgetStreams) {
            call.respondError("no such stream", HttpStatusCode.NotFound)
        } else {
            stream(call, run, call.request.header("Last-Event-ID")?.toIntOrNull() ?: 0, fault)
        }
    }

    private suspend fun stream(call: ApplicationCall, run: EngineRun, fromOffset: Int, fault: ServerFaults) =
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (offset in fromOffset until run.tokens.size) {
                if (!run.awaitToken(offset) || fault.truncateStreamAfterEvents == offset) return@respondBytesWriter
                if (fault.cutStreamAfterEvents == offset) throw ConnectionCut()
                if (fault.crashAfterEvents == offset) {
                    crash()
                    throw ConnectionCut()
                }
                val event = "id: ${offset + 1}\ndata: ${run.responses.chunk(run.tokens, offset)}\n\n"
                if (fault.skipEvent != offset) send(event)
                if (fault.duplicateEvents) send(event)
            }
            send("id: ${run.tokens.size}\ndata: [DONE]\n\n")
        }

    private suspend fun ByteWriteChannel.send(event: String) {
        writeStringUtf8(event)
        flush()
    }

    private suspend fun order(call: ApplicationCall) {
        val order = Json.decodeFromString<EngineOrder>(call.receiveText())
        if (orders.tryAccept(order)) {
            call.respond(HttpStatusCode.NoContent)
        } else {
            call.respondError("the fencing number is lower than the highest accepted one", HttpStatusCode.Conflict)
        }
    }

    private fun loadJson(): String {
        val report = load.report()
        return buildJsonObject {
            put("running", report.running)
            put("waiting", report.waiting)
            put("slots", report.slots)
            put("ageMillis", report.ageMillis)
        }.toString()
    }

    private fun ApplicationCall.echo(requestId: String) {
        if (requestId.isNotEmpty()) response.header(REQUEST_ID, requestId)
    }

    private suspend fun ApplicationCall.respondError(message: String, status: HttpStatusCode) =
        respondJson("""{"error":{"message":"$message"}}""", status)

    private fun String?.isIn(prompt: String): Boolean = this != null && prompt.contains(this)

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
    }
}

/** The runs of the most recent requests, which can be resumed or cancelled. */
private class RecentRuns(private val maxRuns: Int = 4_096) {
    private val runs = object : LinkedHashMap<String, EngineRun>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, EngineRun>): Boolean = size > maxRuns
    }

    @Synchronized
    fun put(requestId: String, run: EngineRun) {
        runs[requestId] = run
    }

    @Synchronized
    fun get(requestId: String): EngineRun? = runs[requestId]
}
