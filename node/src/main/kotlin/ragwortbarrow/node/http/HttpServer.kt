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

/** HTTP server for the callers' API, listening on [listen]. */
class HttpServer(listen: HostAndPort, deps: CallerApiDependencies) {
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> = embeddedServer(
        factory = Netty,
        rootConfig = serverConfig(applicationEnvironment()) { module { callerApi(deps) } },
    ) {
        connectors += EngineConnectorBuilder().apply {
            host = listen.host
            port = listen.port
        }
        // Entry VMs are small, and few threads suffice because handlers suspend instead of blocking.
        connectionGroupSize = 1
        workerGroupSize = 2
        callGroupSize = 4
        maxHeaderSize = MAX_HEADER_BYTES
    }

    /** The port that the started server is bound to. */
    val port: Int get() = runBlocking { server.engine.resolvedConnectors().first().port }

    /** Binds the address; throws if it is already in use. */
    fun start() {
        server.start(wait = false)
    }

    fun stop(graceMillis: Long = 200) {
        server.stop(gracePeriodMillis = graceMillis, timeoutMillis = graceMillis + 1_000)
    }

    private companion object {
        const val MAX_HEADER_BYTES = 32_768

        init {
            // Disables Ktor's own shutdown hook, which would stop the server before requests in flight have drained.
            System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
        }
    }
}
