package ragwortbarrow.soak

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo

class SoakPlanTest {
    private val size = SoakSize()

    @Test
    fun `a seed always gives the same plan, and another seed another one`() {
        expectThat(soakPlan(7, 60, size)).isEqualTo(soakPlan(7, 60, size))
        expectThat(soakPlan(7, 60, size)).isNotEqualTo(soakPlan(8, 60, size))
    }

    @Test
    fun `troubles of servers change no other fault`() {
        val troubled = soakPlan(7, 60, size, ServerTrouble.entries.toSet())
        expectThat(troubled.filter { it in soakPlan(7, 60, size) }).isEqualTo(soakPlan(7, 60, size))
        val crashes = soakPlan(7, 60, size, setOf(ServerTrouble.CRASH))
        expectThat(crashes.filter { it.fault is SoakFault.CrashSeries })
            .isEqualTo(troubled.filter { it.fault is SoakFault.CrashSeries })
    }

    @Test
    fun `plans hold every kind of fault, and faults that overlap`() {
        val plans = (1L..30L).map { soakPlan(it, 60, size, ServerTrouble.entries.toSet()) }
        val kinds = plans.flatten().map { it.fault::class }.toSet()
        expectThat(kinds.size).isEqualTo(16)
        val overlapping = plans.flatMap { plan ->
            plan.zipWithNext().filter { (a, b) ->
                b.atMillis <
                    a.atMillis + a.durationMillis
            }
        }
        expectThat(overlapping.size).isGreaterThan(100)
    }
}
