package ragwortbarrow.core.batch

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.CustomerId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Tests that the next job is selected by deadline risk and fair share. */
class JobSelectorTest {
    private fun job(
        id: String,
        customer: String,
        recentUsage: Double = 0.0,
        weight: Int = 1,
        deadlineMillis: Long = 100_000,
        remainingItems: Int = 100,
    ) = JobCandidate(id, CustomerId(customer), weight, recentUsage, deadlineMillis, 100_000, remainingItems, 10.0)

    private fun choose(vararg jobs: JobCandidate) = JobSelector.choose(jobs.asList(), nowMillis = 0)

    @Test
    fun `a job projected to end too close to its deadline goes first`() {
        val selection = choose(job("fair", "a"), job("late", "b", recentUsage = 1_000.0, remainingItems = 901))
        expectThat(selection?.candidate?.jobId).isEqualTo("late")
        expectThat(selection?.reason).isEqualTo(SelectionReason.DEADLINE_AT_RISK)
    }

    @Test
    fun `the customer with the lowest usage relative to its weight goes first`() {
        val selection =
            choose(job("light", "a", recentUsage = 100.0), job("heavy", "b", recentUsage = 250.0, weight = 3))
        expectThat(selection?.candidate?.jobId).isEqualTo("heavy")
    }

    @Test
    fun `within a customer the earliest deadline goes first`() {
        val selection = choose(job("a", "c", deadlineMillis = 90_000), job("b", "c", deadlineMillis = 80_000))
        expectThat(selection?.candidate?.jobId).isEqualTo("b")
    }
}
