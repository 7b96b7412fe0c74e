package ragwortbarrow.soak

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.standins.LoopbackPorts
import ragwortbarrow.standins.link.LoopbackLink
import ragwortbarrow.standins.operators.OperatorRunnerStandIn
import ragwortbarrow.standins.operators.OperatorStoreStandIn
import ragwortbarrow.standins.operators.RunnerBehaviour
import ragwortbarrow.standins.operators.RunnerRequest
import ragwortbarrow.standins.process.LocalProcess
import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Builds the command that starts a node with these arguments; the environment names its settings file. */
internal fun interface NodeLauncher {
    fun command(arguments: List<String>): ProcessBuilder
}

/**
 * The processes of a soak. The connections of each node to the store, and those to the peer address of a node or to a
 * server, pass through a [LoopbackLink].
 */
internal class SoakFleet(
    private val size: SoakSize,
    seed: Long,
    private val launcher: NodeLauncher,
    private val folder: Path,
) : AutoCloseable {
    private class NodePorts(val callers: Int, val health: Int, val peers: Int)

    val store = OperatorStoreStandIn()
    val script = ServerScript(seed)
    val nodes = (0 until size.nodes).map(::nodeName)
    private val storePort = store.address.substringAfterLast(':').toInt()
    private val ports = nodes.associateWith {
        NodePorts(LoopbackPorts.free(), LoopbackPorts.free(), LoopbackPorts.free())
    }
    private val currentServers = ConcurrentHashMap<Int, OperatorRunnerStandIn>()
    private val startedServers = ConcurrentLinkedQueue<OperatorRunnerStandIn>()
    private val processes = HashMap<String, LocalProcess>()
    val links = ConcurrentHashMap<String, LoopbackLink>()
    private val serverCounter = AtomicInteger()
    private var version = 0
    private val withdrawnKeys = HashSet<String>()
    private val drainingServers = HashSet<Int>()
    private val retiredServers = HashSet<Int>()
    private val coldUntilMillis = HashMap<Int, Long>()

    /** Nodes that report ready, to which a load balancer would send requests. */
    @Volatile
    var readyNodes: List<String> = emptyList()
        private set

    private val healthChecks = thread(isDaemon = true, name = "balancer", start = false) {
        try {
            while (true) {
                readyNodes = nodes.filter { isReady(it) }
                pause(HEALTH_CHECK_INTERVAL_MILLIS)
            }
        } catch (interrupted: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    fun start() {
        publishConfiguration()
        for (number in 0 until size.servers) startServer(number)
        for (node in nodes) {
            links[storeLink(node)] = LoopbackLink(storePort)
            links[peerLink(node)] = LoopbackLink(ports.getValue(node).peers)
        }
        for (node in nodes) {
            processes[node] = LocalProcess(node, folder) { command(node) }.also { it.start() }
        }
        healthChecks.start()
        val untilMillis = nowMillis() + START_TIMEOUT_MILLIS
        while (readyNodes.size < nodes.size) {
            check(nowMillis() < untilMillis) { "only $readyNodes are ready after $START_TIMEOUT_MILLIS ms" }
            pause(HEALTH_CHECK_INTERVAL_MILLIS)
        }
    }

    fun process(node: String): LocalProcess = processes.getValue(node)

    fun callerAddress(node: String) = "127.0.0.1:${ports.getValue(node).callers}"

    /** Requests that ran on any server, each with the id of its server. */
    fun runs(): List<Pair<String, RunnerRequest>> =
        startedServers.flatMap { runner -> runner.ran.map { runner.id to it } }

    /** Requests that reached any server, each with the id of that server. */
    fun received(): List<Pair<String, RunnerRequest>> =
        startedServers.flatMap { runner -> runner.received.map { runner.id to it } }

    /** Writes the next version of the configuration and returns when the store has acknowledged it. */
    @Synchronized
    fun publishConfiguration(change: (HashSet<String>) -> Unit = {}) {
        change(withdrawnKeys)
        version += 1
        store.put("config", "main", Json.parseToJsonElement(configurationText(version, withdrawnKeys)) as JsonObject)
    }

    /** Starts a server with a new id as server [number], behind the link of that number; cold for [coldMillis]. */
    @Synchronized
    fun startServer(number: Int, coldMillis: Long = 0) {
        drainingServers -= number
        retiredServers -= number
        val id = "i-$number-${serverCounter.incrementAndGet()}"
        val runner = OperatorRunnerStandIn(id, RunnerBehaviour.Chosen(script::behaviour))
        startedServers += runner
        coldUntilMillis[number] = nowMillis() + coldMillis
        currentServers[number] = runner
        links.put(serverLink(number), LoopbackLink(runner.address.substringAfterLast(':').toInt()))?.close()
        register(number)
    }

    /** Writes the entry of server [number] again, unless the server is retired. */
    @Synchronized
    fun register(number: Int) {
        if (number in retiredServers) return
        store.putServer(
            id = serverId(number),
            address = "127.0.0.1:${links.getValue(serverLink(number)).port}",
            zone = failureDomain(number, size),
            state = if (number in drainingServers) "draining" else "ready",
            coldRemainingMillis = (coldUntilMillis.getValue(number) - nowMillis()).coerceAtLeast(0),
        )
    }

    @Synchronized
    fun unregister(number: Int) = store.remove("servers", serverId(number))

    @Synchronized
    fun drain(number: Int) {
        drainingServers += number
        register(number)
    }

    /** Removes the entry of server [number] until [startServer] replaces the server. */
    @Synchronized
    fun retire(number: Int) {
        retiredServers += number
        unregister(number)
    }

    fun server(number: Int): OperatorRunnerStandIn = currentServers.getValue(number)

    fun serverId(number: Int): String = server(number).id

    fun serverNumbers(): List<Int> = currentServers.keys.toList()

    override fun close() {
        healthChecks.interrupt()
        processes.values.forEach { it.kill() }
        links.values.forEach { it.close() }
        startedServers.forEach { it.close() }
        store.close()
    }

    private fun command(node: String): ProcessBuilder {
        val nodePorts = ports.getValue(node)
        val number = nodes.indexOf(node)
        val seeds = nodes.take(SEED_NODES).joinToString(",") { "127.0.0.1:${links.getValue(peerLink(it)).port}" }
        val settings = folder.resolve("$node.conf")
        Files.writeString(
            settings,
            """
            node=$node
            zone=${failureDomain(number, size)}
            listen.front=${callerAddress(node)}
            listen.ready=127.0.0.1:${nodePorts.health}
            listen.control=127.0.0.1:${nodePorts.peers}
            seeds=$seeds
            provider.address=127.0.0.1:${links.getValue(storeLink(node)).port}
            bounds.quota_window_s=5
            bounds.grace_s=8
            """.trimIndent(),
        )
        val advertised = "127.0.0.1:${links.getValue(peerLink(node)).port}"
        return launcher.command(listOf("entry", "--advertise-peer", advertised))
            .also { it.environment()["RAGWORTBARROW_CONFIG"] = settings.toString() }
    }

    private fun isReady(node: String): Boolean {
        val call = URI("http://127.0.0.1:${ports.getValue(node).health}/readyz").toURL()
            .openConnection() as HttpURLConnection
        call.connectTimeout = CHECK_TIMEOUT_MILLIS
        call.readTimeout = CHECK_TIMEOUT_MILLIS
        return try {
            call.responseCode == HttpURLConnection.HTTP_OK
        } catch (unreachable: IOException) {
            false
        } finally {
            call.disconnect()
        }
    }

    private companion object {
        const val HEALTH_CHECK_INTERVAL_MILLIS = 200L
        const val CHECK_TIMEOUT_MILLIS = 300
        const val START_TIMEOUT_MILLIS = 60_000L
        const val SEED_NODES = 3
    }
}

internal fun failureDomain(number: Int, size: SoakSize) = "domain-${number % size.failureDomains}"

/** The failure domain of the server with this id, which [SoakFleet.startServer] gave it. */
internal fun failureDomainOf(serverId: String, size: SoakSize) = failureDomain(serverNumber(serverId), size)

internal fun serverNumber(serverId: String) = serverId.split('-')[1].toInt()
