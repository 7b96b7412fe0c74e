package ragwortbarrow.standins.service

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import ragwortbarrow.standins.faults.FaultSwitches
import ragwortbarrow.standins.faults.RunRecord
import ragwortbarrow.standins.faults.ServerFaults
import ragwortbarrow.standins.faults.cutConnection
import ragwortbarrow.standins.faults.devRoutes
import ragwortbarrow.standins.faults.refuseNotRun
import ragwortbarrow.standins.faults.respondJson
import ragwortbarrow.standins.faults.respondTruncated
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread

/**
 * Test server for a plain HTTP service: `GET` on any path returns a catalogue or proof entry, and `POST` creates a
 * reservation with a new number each time, so it is not idempotent and must not be retried.
 */
class PlainServiceServer(
    private val host: String = "127.0.0.1",
    port: Int = 0,
    faults: ServerFaults = ServerFaults(),
    private val onCrash: () -> Unit = {},
) {
    /** The fault switches, which can be set while requests run. */
    val faults: FaultSwitches = FaultSwitches(faults)

    /** The executed requests, and whether any request carried an `Authorization` header. */
    val record: RunRecord = RunRecord()

    private val reservations = AtomicLong()
    private val previous = AtomicReference(Reply("crossed", "{}"))
    private val stopped = AtomicBoolean()
    private lateinit var server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>

    /** The port that the server listens on, known after [start]. */
    var port: Int = port
        private set

    val url: String get() = "http://$host:$port"

    fun start(): PlainServiceServer {
        // The system uses NIO only; otherwise Netty picks a native transport if one is available.
        System.setProperty("io.netty.transport.noNative", "true")
        server = embeddedServer(Netty, port = port, host = host) {
            routing {
                devRoutes(faults, record)
                route("/{path...}") { handle { serve(call) } }
            }
        }.start(wait = false)
        port = runBlocking { server.engine.resolvedConnectors().first().port }
        return this
    }

    /** Stops immediately and closes open connections. */
    fun stop() {
        if (stopped.compareAndSet(false, true)) server.stop(0, 0)
    }

    private suspend fun serve(call: ApplicationCall) {
        record.recordAuthorization(call.request.header(HttpHeaders.Authorization) != null)
        val requestId = call.request.header(REQUEST_ID).orEmpty()
        val body = call.receiveText()
        val fault = faults.next()
        if (fault.refuseNotRun) {
            call.response.header(REQUEST_ID, requestId)
            return call.refuseNotRun()
        }
        record.recordRun(requestId)
        if (fault.crashWord.isIn(call, body)) crash(call)
        if (fault.delayMillis > 0) delay(fault.delayMillis)
        val current = Reply(requestId, answer(call))
        val before = previous.getAndSet(current)
        val shown = if (fault.crossAnswers) before else current
        if (!fault.dropRequestId) call.response.header(REQUEST_ID, shown.requestId)
        when {
            fault.loseReply -> call.cutConnection()
            fault.failWord.isIn(call, body) -> call.respondJson("{}", HttpStatusCode.InternalServerError)
            fault.truncateBody -> call.respondTruncated(shown.json.toByteArray())
            else -> call.respondJson(shown.json)
        }
    }

    private fun answer(call: ApplicationCall): String = buildJsonObject {
        put("path", call.request.path())
        if (call.request.httpMethod == HttpMethod.Post) {
            put("reservation", reservations.incrementAndGet())
        } else {
            put("entry", "entry of ${call.request.path()}")
        }
    }.toString()

    private fun crash(call: ApplicationCall): Nothing {
        onCrash()
        // stop() waits for the server threads, so it must not be called from one of them.
        thread(isDaemon = true, name = "service-crash") { stop() }
        call.cutConnection()
    }

    private fun String?.isIn(call: ApplicationCall, body: String): Boolean =
        this != null && (body.contains(this) || call.request.path().contains(this))

    private data class Reply(val requestId: String, val json: String)

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
    }
}
