package ragwortbarrow.standins.engine

import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import ragwortbarrow.standins.faults.FaultSwitches
import ragwortbarrow.standins.faults.RunRecord
import ragwortbarrow.standins.faults.ServerFaults
import ragwortbarrow.standins.faults.devRoutes
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/**
 * Test server for a model engine: serves the engine protocol over HTTP with simulated continuous batching,
 * deterministic text and injected faults. [onCrash] is called when a fault crashes the server; by default the server
 * only stops.
 */
class EngineServer(
    private val settings: EngineSettings = EngineSettings(),
    faults: ServerFaults = ServerFaults(),
    private val onCrash: () -> Unit = {},
) {
    /** The fault switches, which can be set while requests run. */
    val faults: FaultSwitches = FaultSwitches(faults)

    /** The executed requests, and whether any request carried an `Authorization` header. */
    val record: RunRecord = RunRecord()

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val stopped = AtomicBoolean()
    private lateinit var server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>

    /** The port that the server listens on, known after [start]. */
    var port: Int = settings.port
        private set

    val url: String get() = "http://${settings.host}:$port"

    fun start(): EngineServer {
        // The system uses NIO only; otherwise Netty picks a native transport if one is available.
        System.setProperty("io.netty.transport.noNative", "true")
        val load = LaggingLoad(settings.slots, settings.loadLagMillis)
        val batcher = ContinuousBatcher(
            settings,
            scope,
            onStart = { record.recordRun(it.request.requestId) },
            onLoadChange = load::recordChange,
        )
        val routes = EngineRoutes(settings, this.faults, record, batcher, load, crash = ::crash)
        server = embeddedServer(Netty, port = settings.port, host = settings.host) {
            routing {
                devRoutes(faults, record)
                routes.install(this)
            }
        }.start(wait = false)
        port = runBlocking { server.engine.resolvedConnectors().first().port }
        return this
    }

    /** Stops immediately; open connections are closed and streams cannot be resumed. */
    fun stop() {
        if (!stopped.compareAndSet(false, true)) return
        scope.cancel()
        server.stop(0, 0)
    }

    private fun crash() {
        onCrash()
        // stop() waits for the server threads, so it must not be called from one of them.
        thread(isDaemon = true, name = "engine-crash") { stop() }
    }
}
