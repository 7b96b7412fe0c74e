package ragwortbarrow.cli.bench

import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.routing.BackendLoads
import ragwortbarrow.core.routing.CallTarget
import ragwortbarrow.core.routing.RouteDecision
import ragwortbarrow.core.routing.RouteRequest
import ragwortbarrow.core.routing.Router
import ragwortbarrow.core.routing.ServerHealth
import ragwortbarrow.core.time.TimerService
import kotlin.random.Random

/** A way to choose servers in the routing simulation. */
interface RoutingPolicy {
    val name: String

    /** The index of the server for [request]. */
    fun choose(request: SimulatedRequest): Int

    fun finished(request: SimulatedRequest, server: Int) = Unit

    /** Every node receives this load report now. */
    fun report(server: Int, report: LoadReport) = Unit
}

/** Any server with equal chance. */
class RandomPolicy(private val scenario: RoutingScenario) : RoutingPolicy {
    private val random = Random(scenario.seed)
    override val name = "random"

    override fun choose(request: SimulatedRequest): Int = random.nextInt(scenario.servers)
}

/** Each node takes the servers in turn, starting at a place of its own. */
class RoundRobinPolicy(private val scenario: RoutingScenario) : RoutingPolicy {
    private val next = IntArray(scenario.nodes) { it * scenario.servers / scenario.nodes }
    override val name = "round_robin"

    override fun choose(request: SimulatedRequest): Int = next[request.node]++ % scenario.servers
}

/** The router of the product, one for each node, with or without its preference for servers that know the prefix. */
class RouterPolicy(scenario: RoutingScenario, timer: TimerService, private val usePrefix: Boolean) : RoutingPolicy {
    private val servers = benchServers(scenario.servers, scenario.slots, domains = 1)
    private val snapshot = benchSnapshot(servers)
    private val loads = List(scenario.nodes) { BackendLoads(timer) }
    private val routers = loads.mapIndexed { node, seen ->
        Router(seen, ServerHealth(timer), benchDomain(0), Random(scenario.seed + node))
    }
    private val indexes = servers.withIndex().associate { it.value.id to it.index }
    override val name = if (usePrefix) "two_choices_with_prefix" else "two_choices"

    override fun choose(request: SimulatedRequest): Int {
        val prefix = if (usePrefix) "prefix ${request.prefix}" else ""
        val route = RouteRequest(RequestId("r${request.index}"), benchTarget, prefix)
        val server = when (val decision = routers[request.node].choose(snapshot, route)) {
            is RouteDecision.Chosen -> decision.server

            // The simulation has no queue in the node, so the request waits in the engine.
            is RouteDecision.AllFull -> decision.wanted.also { loads[request.node].tryAcquire(it.id, Int.MAX_VALUE) }

            RouteDecision.AllPaused, RouteDecision.NoServer -> error("no server in the simulation")
        }
        return indexes.getValue(server.id)
    }

    override fun finished(request: SimulatedRequest, server: Int) = loads[request.node].release(servers[server].id)

    override fun report(server: Int, report: LoadReport) = loads.forEach { seen ->
        seen.recordSample(servers[server].id)
        seen.record(servers[server].id, report)
    }
}

internal val benchTarget = CallTarget.ModelTarget("wording")

internal fun benchDomain(index: Int) = FailureDomainId("d$index")

internal fun benchServers(count: Int, slots: Int, domains: Int): List<BackendServer> = List(count) { index ->
    val id = BackendServerId("engine-$index")
    BackendServer(id, "http://127.0.0.1:1", benchDomain(index % domains), listOf(benchTarget.model), slots = slots)
}

internal fun benchSnapshot(servers: List<BackendServer>): ConfigurationSnapshot {
    val fleet = Fleet(servers.map { it.failureDomain }.distinct().map { FailureDomain(it) })
    return ConfigurationSnapshot(1, Manifest("bench", fleet, backendServers = servers))
}
