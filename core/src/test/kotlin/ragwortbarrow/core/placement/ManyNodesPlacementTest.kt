package ragwortbarrow.core.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** The high phase of a load step: 25 nodes share 21 servers and learn of each other's requests with a delay. */
class ManyNodesPlacementTest {
    @Test
    fun `few requests are sent to a full server while a third of all slots is free`() {
        expectThat(highPhase(usesPreferredSlots = true).lateShare).isLessThan(TARGET_LATE_SHARE)
    }

    /** All nodes choose the server that looks least loaded, and their requests queue there. */
    @Test
    fun `without preferred slots the same load misses the target`() {
        expectThat(highPhase(usesPreferredSlots = false).lateShare).isGreaterThan(TARGET_LATE_SHARE)
    }

    private fun highPhase(usesPreferredSlots: Boolean): ManyNodesSimulation.Phase {
        val simulation = ManyNodesSimulation(reportLagMillis = 200, usesPreferredSlots = usesPreferredSlots)
        simulation.runPhase(load = 0.14, millis = 3_600)
        return simulation.runPhase(load = 0.67, millis = 12_000)
    }

    private companion object {
        /** Target for large deployments: 19 of 20 requests get their first event in time. */
        const val TARGET_LATE_SHARE = 0.05
    }
}
