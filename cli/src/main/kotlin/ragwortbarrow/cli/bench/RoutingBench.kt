package ragwortbarrow.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo

/** `ragwortbarrow bench routing`: compares ways to choose a backend server in virtual time, and measures their cost. */
class RoutingBench : CliktCommand(name = "routing") {
    private val defaults = RoutingScenario()
    private val seconds by option("--seconds", help = "Simulated time").int().restrictTo(min = 20)
        .default(defaults.seconds)
    private val servers by option("--servers").int().restrictTo(min = 1).default(defaults.servers)
    private val nodes by option("--nodes").int().restrictTo(min = 1).default(defaults.nodes)
    private val utilization by option("--utilization", help = "Share of slots in use without prefix hits").double()
        .restrictTo(0.01, 0.99).default(defaults.utilization)
    private val lagMillis by option("--report-lag-millis").long().default(defaults.reportLagMillis)
    private val seed by option("--seed").long().default(defaults.seed)

    override fun help(context: Context): String =
        "Compare random, round robin, power of two choices and prefix preference in virtual time."

    override fun run() {
        val scenario = RoutingScenario(
            servers = servers,
            nodes = nodes,
            utilization = utilization,
            seconds = seconds,
            reportLagMillis = lagMillis,
            seed = seed,
        )
        val simulation = RoutingSimulation(scenario)
        listOf(
            simulation.run { setting, _ -> RandomPolicy(setting) },
            simulation.run { setting, _ -> RoundRobinPolicy(setting) },
            simulation.run { setting, timer -> RouterPolicy(setting, timer, usePrefix = false) },
            simulation.run { setting, timer -> RouterPolicy(setting, timer, usePrefix = true) },
        ).forEach { echo(it.line()) }
        routingSlopes().forEach { echo(it.line()) }
    }

    private fun RoutingOutcome.line() =
        "policy=%s requests=%d wait_p50_ms=%.1f wait_p99_ms=%.1f latency_p99_ms=%.1f hits=%.3f"
            .format(policy, requests, waitP50Millis, waitP99Millis, latencyP99Millis, prefixHitRate)

    private fun RoutingSlope.line() =
        "servers=%d candidates=%d cpu_us_per_decision=%.2f cpu_us_without_prefix=%.2f bytes_per_server=%.0f"
            .format(servers, candidates, cpuMicrosPerDecision, cpuMicrosWithoutPrefix, bytesPerServer)
}
