package ragwortbarrow.cli.bench

import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.time.NANOS_PER_SECOND

/** Settings of a comparison; every policy meets the same arrivals. */
internal data class LimitsScenario(
    val seed: Long,
    val vmCount: Int,
    val utilization: Double,
    val overload: Double,
    val warmUpSeconds: Long,
    val steadySeconds: Long,
    val aroundLossSeconds: Long,
)

/** What one policy did; counts of requests within rate exclude the customer that sends beyond its rate. */
internal data class LimitsOutcome(
    val policy: String,
    val excess: Double,
    val steady: RefusalCount,
    val aroundLoss: RefusalCount,
    val messagesPerAdmitted: Double,
    /** Admitted share of the requests within rate, for each customer, over the whole measured time. */
    val servedByCustomer: Map<String, Double>,
    /** Requests of the overloading customer admitted, compared with what its rate and burst allow. */
    val overloadingServed: Double,
)

/** Requests that an ideal bucket of the whole fleet admits, and how many of them were refused. */
internal data class RefusalCount(val within: Long, val refused: Long) {
    val percent: Double get() = if (within == 0L) 0.0 else 100.0 * refused / within
}

/** Runs [policy] through a warm-up, a time when all is well, the loss of a VM and the time after it. */
internal class LimitsSimulation(
    private val scenario: LimitsScenario,
    private val timer: VirtualTimer,
    private val workload: LimitsWorkload,
    private val policy: LimitsPolicy,
) {
    private class Tally(customer: Customer) {
        val ideal = TokenBucket(customer.ratePerSecond, customer.burst.toDouble())
        val excess = ExcessMeter(customer.ratePerSecond, customer.burst)
        val within = LongArray(Phase.entries.size)
        val refused = LongArray(Phase.entries.size)
        val admitted = LongArray(Phase.entries.size)
    }

    private enum class Phase { WARM_UP, STEADY, AROUND_LOSS }

    private val tallies = workload.customers.associateWith(::Tally)
    private var phase = Phase.WARM_UP
    private var lostVm: Int? = null

    fun run(): LimitsOutcome {
        workload.customers.forEach(::scheduleNext)
        var end = scenario.warmUpSeconds * NANOS_PER_SECOND
        timer.runUntil(end)
        phase = Phase.STEADY
        val messagesBefore = policy.messages
        end += scenario.steadySeconds * NANOS_PER_SECOND
        timer.runUntil(end)
        val steadyMessages = policy.messages - messagesBefore
        phase = Phase.AROUND_LOSS
        lostVm = policy.loseVm()
        timer.runUntil(end + scenario.aroundLossSeconds * NANOS_PER_SECOND)
        return outcome(steadyMessages)
    }

    private fun scheduleNext(customer: Customer) {
        timer.afterNanos(workload.nextArrivalNanos(customer)) {
            scheduleNext(customer)
            arrive(customer)
        }
    }

    private fun arrive(customer: Customer) {
        val arrivedIn = phase.ordinal
        val tally = tallies.getValue(customer)
        val isWithin = tally.ideal.tryTake(timer.nanoTime())
        if (isWithin) tally.within[arrivedIn]++
        val vm = workload.nextVm(customer) { it != lostVm }
        policy.request(vm, customer) { isAdmitted ->
            if (isAdmitted) {
                tally.admitted[arrivedIn]++
                tally.excess.admitted(timer.nanoTime())
            } else if (isWithin) {
                tally.refused[arrivedIn]++
            }
        }
    }

    private fun outcome(steadyMessages: Long): LimitsOutcome {
        val others = tallies.filterKeys { it != workload.overloading }
        fun count(phase: Phase) = RefusalCount(
            within = others.values.sumOf { it.within[phase.ordinal] },
            refused = others.values.sumOf { it.refused[phase.ordinal] },
        )
        val measured = listOf(Phase.STEADY.ordinal, Phase.AROUND_LOSS.ordinal)
        val overloading = tallies.getValue(workload.overloading)
        return LimitsOutcome(
            policy = policy.name,
            excess = tallies.values.maxOf { it.excess.excess },
            steady = count(Phase.STEADY),
            aroundLoss = count(Phase.AROUND_LOSS),
            messagesPerAdmitted = steadyMessages.toDouble() / tallies.values.sumOf {
                it.admitted[Phase.STEADY.ordinal]
            },
            servedByCustomer = others.entries.associate { (customer, tally) ->
                val within = measured.sumOf { tally.within[it] }
                customer.id.value to 1 - measured.sumOf { tally.refused[it] }.toDouble() / within
            },
            overloadingServed = measured.sumOf { overloading.admitted[it] }.toDouble() /
                measured.sumOf { overloading.within[it] },
        )
    }
}

/** Compares the three policies under [scenario]. */
internal fun compareLimitPolicies(scenario: LimitsScenario, oneWayNanos: Long): List<LimitsOutcome> {
    val policies = listOf<(VirtualTimer, List<Customer>) -> LimitsPolicy>(
        { timer, customers -> StaticShares(timer, customers, scenario.vmCount) },
        { timer, customers ->
            SimulatedLimits(
                name = "one owner per customer",
                timer = timer,
                customers = customers,
                vmCount = scenario.vmCount,
                domainCount = 1,
                shardsPerDomain = scenario.vmCount,
                oneWayNanos = oneWayNanos,
            )
        },
        { timer, customers ->
            SimulatedLimits(
                name = "owner accounts, borrowing",
                timer = timer,
                customers = customers,
                vmCount = scenario.vmCount,
                domainCount = 3,
                shardsPerDomain = 1,
                oneWayNanos = oneWayNanos,
            )
        },
    )
    return policies.map { create ->
        val timer = VirtualTimer()
        val workload = LimitsWorkload(scenario.seed, scenario.vmCount, scenario.utilization, scenario.overload)
        val policy = create(timer, workload.customers)
        LimitsSimulation(scenario, timer, workload, policy).run().also { (policy as? SimulatedLimits)?.close() }
    }
}
