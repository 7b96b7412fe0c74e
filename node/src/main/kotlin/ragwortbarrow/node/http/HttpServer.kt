package ragwortbarrow.node.http

import io.ktor.server.application.serverConfig
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.EngineConnectorBuilder
import io.ktor.server.engine.applicationEnvironment
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import kotlinx.coroutines.runBlocking
import ragwortbarrow.node.settings.HostAndPort

/** Serves the callers' API at [listen]. */
class HttpServer(listen: HostAndPort, parts: CallerParts) {
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> = embeddedServer(
        factory = Netty,
        rootConfig = serverConfig(applicationEnvironment()) { module { callerApi(parts) } },
    ) {
        connectors += EngineConnectorBuilder().apply {
            host = listen.host
            port = listen.port
        }
        // Entry VMs are small; handlers suspend instead of blocking, so that few threads suffice.
        connectionGroupSize = 1
        workerGroupSize = 2
        callGroupSize = 4
        maxHeaderSize = MAX_HEADER_BYTES
    }

    /** The bound port, once started. */
    val port: Int get() = runBlocking { server.engine.resolvedConnectors().first().port }

    /** Binds the address; throws if it is taken. */
    fun start() {
        server.start(wait = false)
    }

    fun stop(graceMillis: Long = 200) {
        server.stop(gracePeriodMillis = graceMillis, timeoutMillis = graceMillis + 1_000)
    }

    private companion object {
        const val MAX_HEADER_BYTES = 32_768

        init {
            // By default Ktor stops the server in a shutdown hook of its own, which cuts requests before they drain.
            System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
        }
    }
}
