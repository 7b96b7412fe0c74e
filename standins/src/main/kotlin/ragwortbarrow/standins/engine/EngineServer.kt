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
 * A stand-in of a model engine: the engine protocol over HTTP, with a model of continuous batching, deterministic text
 * and fault switches. [onCrash] is called when a fault switch crashes the server; without it the server only stops.
 */
class EngineServer(
    private val settings: EngineSettings = EngineSettings(),
    faults: ServerFaults = ServerFaults(),
    private val onCrash: () -> Unit = {},
) {
    /** The fault switches, which can be set while requests run. */
    val faults: FaultSwitches = FaultSwitches(faults)

    /** What ran, and whether a key ever arrived. */
    val record: RunRecord = RunRecord()

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val stopped = AtomicBoolean()
    private lateinit var server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>

    /** The port that the server listens on, known after [start]. */
    var port: Int = settings.port
        private set

    val url: String get() = "http://${settings.host}:$port"

    fun start(): EngineServer {
        // The system uses NIO only; Netty would otherwise choose a native transport if it finds one.
        System.setProperty("io.netty.transport.noNative", "true")
        val load = LaggingLoad(settings.slots, settings.loadLagMillis)
        val batcher = ContinuousBatcher(
            settings,
            scope,
            onStart = { record.ran(it.request.requestId) },
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

    /** Stops at once; open connections are cut and streams are lost. */
    fun stop() {
        if (!stopped.compareAndSet(false, true)) return
        scope.cancel()
        server.stop(0, 0)
    }

    private fun crash() {
        onCrash()
        // The server waits for its own threads to end, so they must not stop it.
        thread(isDaemon = true, name = "engine-crash") { stop() }
    }
}
