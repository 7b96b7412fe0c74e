package ragwortbarrow.scenarios

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.manifest.Access
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.Model
import ragwortbarrow.core.manifest.Service
import ragwortbarrow.standins.LoopbackPorts
import ragwortbarrow.standins.link.LoopbackLink
import ragwortbarrow.standins.process.LocalProcess
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * The processes of a scenario: the platform stand-in, nodes, engines and plain services. A relay on each link between
 * two nodes and between a node and the platform makes it possible to cut each link separately.
 */
internal class ScenarioFleet(private val plan: FleetPlan, private val folder: Path) : AutoCloseable {
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(5)).build()
    private val platformPort = LoopbackPorts.free()
    private val callerPorts = plan.nodes.associate { it.vm to LoopbackPorts.free() }
    private val peerPorts = plan.nodes.associate { it.vm to LoopbackPorts.free() }
    private val backendPorts = (plan.engines.map { it.id } + plan.services.map { it.id })
        .associateWith { LoopbackPorts.free() }
    private val platformRelays = plan.nodes.associate { it.vm to LoopbackLink(platformPort) }
    private val peerRelays = plan.nodes.flatMap { from ->
        plan.nodes.filter { it != from }.map { to -> (from.vm to to.vm) to LoopbackLink(peerPorts.getValue(to.vm)) }
    }.toMap()
    private val processes = LinkedHashMap<String, LocalProcess>()
    private val keys = HashMap<String, String>()

    /** Base URLs of the nodes that report ready, to which a load balancer would send requests. */
    @Volatile
    var readyUrls: Set<String> = emptySet()
        private set

    private val healthChecks = thread(isDaemon = true, name = "health-checks") {
        while (!Thread.currentThread().isInterrupted) {
            readyUrls = plan.nodes.map { it.vm }.filter(::isReady).mapTo(HashSet(), ::url)
            runCatching { TimeUnit.MILLISECONDS.sleep(POLL_MILLIS) }.onFailure { return@thread }
        }
    }

    fun startServers() {
        val vms = plan.nodes.flatMap { listOf("--vm", "${it.vm},${it.domain},127.0.0.1:${peerPorts[it.vm]}") }
        startTool("platform", listOf("dev", "platform", "--listen", "127.0.0.1:$platformPort") + vms)
        plan.engines.forEach { engine ->
            val arguments = listOf(
                "dev", "engine", "--listen", address(engine.id), "--models", engine.model,
                "--slots", engine.slots.toString(), "--between-tokens-millis", engine.tokenMillis.toString(),
                "--first-token-millis", (engine.tokenMillis * 2).toString(),
            )
            startTool(engine.id, arguments + engine.arguments)
        }
        plan.services.forEach { startTool(it.id, listOf("dev", "service", "--listen", address(it.id))) }
        processes.keys.forEach { awaitPort(if (it == "platform") platformPort else backendPorts.getValue(it)) }
        applyManifest(ManifestChange())
    }

    fun startNode(vm: String) {
        val node = plan.nodes.first { it.vm == vm }
        val routes = plan.nodes.filter { it.vm != vm }.flatMap { to ->
            listOf("--peer-route", "127.0.0.1:${peerPorts[to.vm]}=127.0.0.1:${peerRelays.getValue(vm to to.vm).port}")
        }
        val arguments = listOf(
            "--vm-id", vm, "--failure-domain", node.domain, "--listen", "127.0.0.1:${callerPorts[vm]}",
            "--peer-listen", "127.0.0.1:${peerPorts[vm]}", "--drain-delay-millis", "3000",
            "--platform-url", "http://127.0.0.1:${platformRelays.getValue(vm).port}",
        )
        processes.getOrPut(vm) { serverProcess(vm, NODE_MAIN, arguments + routes, folder) }.start()
    }

    fun process(name: String): LocalProcess = processes.getValue(name)

    fun startProcess(name: String) = if (name in callerPorts) startNode(name) else process(name).start()

    fun url(vm: String): String = "http://127.0.0.1:${callerPorts.getValue(vm)}"

    fun key(name: String?): String? = name?.let { keys.getValue(it) }

    fun isReady(vm: String): Boolean = runCatching { get("${url(vm)}/readyz").statusCode() == 200 }.getOrDefault(false)

    fun applyManifest(change: ManifestChange) {
        val file = folder.resolve("manifest.json")
        Files.writeString(file, Json.encodeToString(Manifest.serializer(), manifest(change)))
        val runs = (1..change.racing).map { startCommand("manifest", "apply", file.toString()) }
        val codes = runs.map { it.waitFor(60, TimeUnit.SECONDS).let { _ -> it.exitValue() } }
        check(codes.count { it == 0 } >= 1) { "no manifest was applied: $codes" }
    }

    fun grantKey(step: KeyGrantStep) {
        val output = runCommand("key", "grant", "--customer", step.customer, "--id", step.key).second
        keys[step.key] = checkNotNull(Regex("key=(\\S+)").find(output)) { output }.groupValues[1]
    }

    /** Withdraws a key and returns whether every node confirmed it. */
    fun withdrawKey(key: String): Boolean {
        val nodes = peerPorts.values.flatMap { listOf("--node", "127.0.0.1:$it") }
        return runCommand("key", "withdraw", key, *nodes.toTypedArray()).first == 0
    }

    fun cutLinks(cut: Cut) {
        val inside = cut.between.toSet()
        peerRelays.filterKeys { (from, to) -> (from in inside) != (to in inside) }.values.forEach { it.cut() }
        if (cut.platform) platformRelays.filterKeys { it in inside }.values.forEach { it.cut() }
    }

    fun restoreLinks() = (peerRelays.values + platformRelays.values).forEach { it.heal() }

    fun setPlatformFaults(json: String) = put("http://127.0.0.1:$platformPort/dev/faults", json)

    fun setServerFaults(id: String, json: String) = put("http://${address(id)}/dev/faults", json)

    /** Returns how often each request ran on a backend server, and whether a key ever reached the server. */
    fun runs(id: String): Pair<Map<String, Int>, Boolean> {
        val report = Json.parseToJsonElement(get("http://${address(id)}/dev/runs").body()).jsonObject
        val runs = (report.getValue("runs") as JsonObject).mapValues { it.value.jsonPrimitive.int }
        return runs to report.getValue("authorizationSeen").jsonPrimitive.boolean
    }

    fun appliedVersion(vm: String): Long? = runCatching {
        val body = get("${url(vm)}/metrics").body()
        Regex(
            "(?m)^ragwortbarrow_configuration_version\\S* (\\S+)",
        ).find(body)?.groupValues?.get(1)?.toDouble()?.toLong()
    }.getOrNull()

    val serverIds: Set<String> get() = backendPorts.keys

    val customers: List<CustomerPlan> get() = plan.customers

    fun logs(): String = processes.keys.joinToString("\n") { name ->
        "== $name\n" + LocalProcess.tail(folder.resolve("$name.log").toFile())
    }

    override fun close() {
        healthChecks.interrupt()
        processes.values.forEach { it.kill() }
        (peerRelays.values + platformRelays.values).forEach { it.close() }
    }

    private fun manifest(change: ManifestChange) = Manifest(
        name = "scenario",
        fleet = Fleet(
            failureDomains = plan.nodes.map { it.domain }.distinct().map { FailureDomain(FailureDomainId(it)) },
            // With long queues a slow machine delays requests instead of refusing them.
            queueWaitMillis = 30_000,
            queueLengthPerCustomer = 2_000,
        ),
        models = plan.engines.map { it.model }.distinct().map { Model(it) },
        services = plan.services.map { service ->
            val access = if (service.open) Access.OPEN else Access.KEY
            Service(service.id, "/${service.id}", access, service.repeatable)
        },
        customers = plan.customers.map { Customer(CustomerId(it.id), it.ratePerSecond, it.burst) },
        backendServers = plan.engines.map { engine ->
            server(engine.id, engine.domain, change).copy(models = listOf(engine.model), slots = engine.slots)
        } + plan.services.map { server(it.id, it.domain, change).copy(service = it.id, slots = 32) },
    )

    private fun server(id: String, domain: String, change: ManifestChange) = BackendServer(
        id = BackendServerId(id),
        url = "http://${address(id)}",
        failureDomain = FailureDomainId(domain),
        leaving = id in change.leaving,
    )

    private fun address(id: String) = "127.0.0.1:${backendPorts.getValue(id)}"

    private fun startTool(name: String, arguments: List<String>) {
        processes[name] = serverProcess(name, TOOL_MAIN, arguments, folder).also { it.start() }
    }

    private fun runCommand(vararg arguments: String): Pair<Int, String> {
        val process = startCommand(*arguments)
        val output = process.inputStream.bufferedReader().readText()
        process.waitFor(60, TimeUnit.SECONDS)
        return process.exitValue() to output
    }

    private fun startCommand(vararg arguments: String): Process = serverCommand(
        TOOL_MAIN,
        arguments.toList() + listOf("--platform-url", "http://127.0.0.1:$platformPort"),
    )
        .redirectErrorStream(true).start()

    private fun awaitPort(port: Int) = waitFor(60, "port $port") {
        runCatching { java.net.Socket("127.0.0.1", port).close() }.isSuccess
    }

    private fun get(url: String): HttpResponse<String> = http.send(
        HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(5)).build(),
        HttpResponse.BodyHandlers.ofString(),
    )

    private fun put(url: String, json: String) {
        val body = HttpRequest.BodyPublishers.ofString(json)
        val request = HttpRequest.newBuilder(URI(url)).PUT(body).header("Content-Type", "application/json").build()
        val status = http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()
        check(status / 100 == 2) { "$url answered $status" }
    }

    private companion object {
        const val NODE_MAIN = "ragwortbarrow.node.MainKt"
        const val TOOL_MAIN = "ragwortbarrow.cli.MainKt"
    }
}

/** Waits until [condition] holds; after [timeoutSeconds] it throws an error that names [what]. */
internal fun waitFor(timeoutSeconds: Long, what: String, condition: () -> Boolean) {
    val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds)
    while (!condition()) {
        check(System.nanoTime() < endNanos) { "timed out after $timeoutSeconds s waiting for $what" }
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS)
    }
}

private const val POLL_MILLIS = 100L
