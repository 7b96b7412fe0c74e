package ragwortbarrow.cli.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards the measure itself: a comparison that cannot see an excess, or that varies by run, shows nothing. */
class LimitsSimulationTest {
    private val scenario = LimitsScenario(
        seed = 1,
        vmCount = 9,
        utilization = 0.6,
        overload = 5.0,
        warmUpSeconds = 10,
        steadySeconds = 10,
        aroundLossSeconds = 10,
    )

    @Test
    fun `the same seed gives the same outcome without excess`() {
        val outcomes = compareLimitPolicies(scenario, oneWayNanos = 500_000)
        expectThat(compareLimitPolicies(scenario, oneWayNanos = 500_000)).isEqualTo(outcomes)
        expectThat(outcomes).all { get { excess }.isEqualTo(0.0) }
        expectThat(outcomes).all { get { overloadingServed }.isLessThan(1.01) }
    }

    @Test
    fun `admissions beyond rate and burst are seen`() {
        val meter = ExcessMeter(ratePerSecond = 10.0, burst = 5)
        repeat(15) { meter.admitted(nanos = 100_000_000L * it) }
        expectThat(meter.excess).isEqualTo(0.0)
        repeat(6) { meter.admitted(nanos = 10_000_000_000L) }
        expectThat(meter.excess).isGreaterThan(0.9)
    }
}
