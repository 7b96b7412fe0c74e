package ragwortbarrow.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long

/** `ragwortbarrow bench limits`: compares three ways to hold rates over the fleet, in virtual time. */
class LimitsBench : CliktCommand(name = "limits") {
    private val seed by option("--seed", help = "Seed of the arrivals").long().default(1)
    private val vms by option("--vms", help = "VMs, in three failure domains").int().default(9)
    private val utilization by option("--utilization", help = "Share of its rate that a customer within it sends")
        .double().default(0.6)
    private val overload by option("--overload", help = "Times its rate that one customer sends").double().default(5.0)
    private val oneWayMillis by option("--one-way-millis", help = "Latency between VMs").double().default(0.5)
    private val steadySeconds by option("--steady-seconds", help = "Measured time with all VMs").long().default(300)
    private val slopes by option("--slopes", help = "Also measures CPU time and memory by the number of customers")
        .flag()

    override fun help(context: Context): String =
        "Compares static shares, one owner per customer, and owner accounts with borrowing."

    override fun run() {
        val scenario = LimitsScenario(
            seed = seed,
            vmCount = vms,
            utilization = utilization,
            overload = overload,
            warmUpSeconds = 30,
            steadySeconds = steadySeconds,
            aroundLossSeconds = 30,
        )
        val oneWayNanos = (oneWayMillis * 1e6).toLong()
        val baseline = compareLimitPolicies(scenario.copy(overload = utilization), oneWayNanos)
        echo(
            "seed=$seed vms=$vms utilization=$utilization overload=$overload " +
                "steady_s=$steadySeconds around_loss_s=${scenario.aroundLossSeconds}",
        )
        compareLimitPolicies(scenario, oneWayNanos).zip(baseline).forEach { (outcome, without) ->
            print(outcome, without)
        }
        if (slopes) limitsSlopes().forEach(::print)
    }

    private fun print(outcome: LimitsOutcome, without: LimitsOutcome) {
        val worst = outcome.servedByCustomer.minBy { it.value }
        val againstWithout = outcome.servedByCustomer.minOf { (customer, served) ->
            served / without.servedByCustomer.getValue(customer).coerceAtLeast(1e-9)
        }
        val refusals = "refused_within_rate_steady=%.4f%% (%d/%d) around_loss=%.3f%% (%d/%d)".format(
            outcome.steady.percent,
            outcome.steady.refused,
            outcome.steady.within,
            outcome.aroundLoss.percent,
            outcome.aroundLoss.refused,
            outcome.aroundLoss.within,
        )
        val served = "worst_served=%s %.3f%% against_no_overload=%.3f%% overloading_served=%.2f%%".format(
            worst.key,
            100 * worst.value,
            100 * againstWithout,
            100 * outcome.overloadingServed,
        )
        val messages = "messages_per_admitted=%.2f without_overload=%.2f".format(
            outcome.messagesPerAdmitted,
            without.messagesPerAdmitted,
        )
        echo("policy=\"${outcome.policy}\" excess=${"%.2f".format(outcome.excess)} $refusals $messages $served")
    }

    private fun print(row: LimitsSlopeRow) {
        echo(
            "customers=%d heap_bytes_per_customer=%.0f cpu_ns_per_acquire=%.0f cpu_ns_per_local_admission=%.0f".format(
                row.customers,
                row.heapBytesPerCustomer,
                row.cpuNanosPerAcquire,
                row.cpuNanosPerLocalAdmission,
            ),
        )
    }
}
