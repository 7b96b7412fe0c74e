package ragwortbarrow.core.batch

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.CustomerId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards deadlines and fair shares in the choice of the next job. */
class JobOrderTest {
    private fun job(
        id: String,
        customer: String,
        served: Double = 0.0,
        weight: Int = 1,
        deadlineMillis: Long = 100_000,
        remainingItems: Int = 100,
    ) = JobCandidate(id, CustomerId(customer), weight, served, deadlineMillis, 100_000, remainingItems, 10.0)

    private fun choose(vararg jobs: JobCandidate) = JobOrder.choose(jobs.asList(), nowMillis = 0)

    @Test
    fun `a job that would end too close to its deadline goes first`() {
        val placement = choose(job("fair", "a"), job("late", "b", served = 1_000.0, remainingItems = 901))
        expectThat(placement?.candidate?.jobId).isEqualTo("late")
        expectThat(placement?.reason).isEqualTo(PlacementReason.DEADLINE_AT_RISK)
    }

    @Test
    fun `the customer served least for its weight goes first`() {
        val placement = choose(job("light", "a", served = 100.0), job("heavy", "b", served = 250.0, weight = 3))
        expectThat(placement?.candidate?.jobId).isEqualTo("heavy")
    }

    @Test
    fun `within a customer the earliest deadline goes first`() {
        val placement = choose(job("a", "c", deadlineMillis = 90_000), job("b", "c", deadlineMillis = 80_000))
        expectThat(placement?.candidate?.jobId).isEqualTo("b")
    }
}
