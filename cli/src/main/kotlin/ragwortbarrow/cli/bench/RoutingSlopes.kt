package ragwortbarrow.cli.bench

import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.routing.BackendLoads
import ragwortbarrow.core.routing.RouteDecision
import ragwortbarrow.core.routing.RouteRequest
import ragwortbarrow.core.routing.Router
import ragwortbarrow.core.routing.ServerHealth
import ragwortbarrow.core.time.ManualTimerService
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** The cost of routing with [servers] backend servers, of which [candidates] are in the own failure domain. */
data class RoutingSlope(
    val servers: Int,
    val candidates: Int,
    val cpuMicrosPerDecision: Double,
    val cpuMicrosWithoutPrefix: Double,
    val bytesPerServer: Double,
)

/** Measures CPU time of a decision, and memory of the load table, at three sizes of the fleet. */
fun routingSlopes(decisions: Int = 5_000): List<RoutingSlope> =
    listOf(12 to 3, 300 to 9, 2_900 to 9).map { (servers, domains) -> slopeOf(servers, domains, decisions) }

private fun slopeOf(serverCount: Int, domains: Int, decisions: Int): RoutingSlope {
    val servers = benchServers(serverCount, slots = 8, domains = domains)
    val snapshot = benchSnapshot(servers)
    val timer = ManualTimerService()
    val usedBefore = usedBytes()
    val loads = BackendLoads(timer)
    servers.forEach { server ->
        repeat(SAMPLES) { loads.recordSample(server.id) }
        loads.record(
            server.id,
            LoadReport(running = 3, waiting = 0, slots = 8),
            validMillis =
            Long.MAX_VALUE / 2_000_000,
        )
    }
    val bytesPerServer = (usedBytes() - usedBefore).toDouble() / serverCount
    val router = Router(loads, ServerHealth(timer), benchDomain(0), Random(1))

    fun decide(index: Int, prefix: String) {
        val decision = router.choose(snapshot, RouteRequest(RequestId("r$index"), benchTarget, prefix))
        if (decision is RouteDecision.Chosen) loads.release(decision.server.id)
    }

    fun microsPerDecision(prefix: (Int) -> String): Double {
        repeat(decisions) { decide(it, prefix(it)) }
        val threads = ManagementFactory.getThreadMXBean()
        val startNanos = threads.currentThreadCpuTime
        repeat(decisions) { decide(it, prefix(it)) }
        return (threads.currentThreadCpuTime - startNanos) / 1_000.0 / decisions
    }
    return RoutingSlope(
        servers = serverCount,
        candidates = servers.count { it.failureDomain == benchDomain(0) },
        cpuMicrosPerDecision = microsPerDecision { "prefix ${it % 200} ".repeat(8) },
        cpuMicrosWithoutPrefix = microsPerDecision { "" },
        bytesPerServer = bytesPerServer,
    )
}

/** Heap in use after a collection; the fleet is large enough for the noise of some kilobytes not to matter. */
private fun usedBytes(): Long {
    repeat(3) { System.gc() }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}

private const val SAMPLES = 16
