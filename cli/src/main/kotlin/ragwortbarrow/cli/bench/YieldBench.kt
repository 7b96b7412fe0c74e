package ragwortbarrow.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo

/** `ragwortbarrow bench yield`: what batch work does to online requests under three policies, in virtual time. */
class YieldBench : CliktCommand(name = "yield") {
    private val defaults = YieldScenario()
    private val seconds by option("--seconds", help = "Simulated time").int().restrictTo(min = 20)
        .default(defaults.seconds)
    private val nodes by option("--nodes").int().restrictTo(min = 1).default(defaults.nodes)
    private val servers by option("--servers").int().restrictTo(min = 1).default(defaults.servers)
    private val slots by option("--slots").int().restrictTo(min = 2).default(defaults.slots)
    private val burstMillis by option("--burst-millis").long().restrictTo(min = 100).default(defaults.burstMillis)
    private val idleMillis by option("--idle-millis").long().restrictTo(min = 100).default(defaults.idleMillis)
    private val burstUtilization by option("--burst-utilization", help = "Share of slots that a burst uses").double()
        .restrictTo(0.01, 0.99).default(defaults.burstUtilization)
    private val lagMillis by option("--report-lag-millis").long().default(defaults.reportLagMillis)
    private val queueAhead by option("--queue-ahead", help = "Requests that may wait inside a full engine").int()
        .restrictTo(min = 0).default(defaults.queueAhead)
    private val seed by option("--seed").long().default(defaults.seed)

    override fun help(context: Context): String =
        "Compare no batch, batch sent like online, and batch on spare slots beside online bursts."

    override fun run() {
        val scenario = YieldScenario(
            seconds = seconds,
            nodes = nodes,
            servers = servers,
            slots = slots,
            burstMillis = burstMillis,
            idleMillis = idleMillis,
            burstUtilization = burstUtilization,
            reportLagMillis = lagMillis,
            queueAhead = queueAhead,
            seed = seed,
        )
        val outcomes = YieldPolicy.entries.map { YieldSimulation(scenario, it).run() }
        val alone = outcomes.first()
        outcomes.forEach { echo(it.line(alone)) }
    }

    private fun YieldOutcome.line(alone: YieldOutcome) = (
        "policy=%s requests=%d ttft_p50_ms=%.0f ttft_p99_ms=%.0f ttft_p99.9_ms=%.0f p99_ratio=%.3f " +
            "idle_slots_used=%.3f batch_items=%d cancelled=%d"
        ).format(
        policy.name.lowercase(), requests, p50Millis, p99Millis, p999Millis, p99Millis / alone.p99Millis,
        idleSlotsUsed, batchItems, cancelledItems,
    )
}
