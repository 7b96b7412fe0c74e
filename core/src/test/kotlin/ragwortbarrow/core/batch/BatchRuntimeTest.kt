package ragwortbarrow.core.batch

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/** Guards the life of a job from its submission to its output, on several nodes. */
class BatchRuntimeTest {
    private val ids = (1..450).map { "item-$it" }

    @Test
    fun `a job completes with one result for each item in the order of its input`() {
        val fleet = SimulatedFleet()
        val job = fleet.submit(ids)
        fleet.awaitState(job.id, JobState.COMPLETED)
        val output = fleet.output(job.id)
        expectThat(output.map { it.first }).isEqualTo(ids)
        expectThat(output.map { it.second }).all { contains("\"status_code\":200") }
        expectThat(fleet.engines.starts.values.sum()).isEqualTo(450)
        expectThat(fleet.job(job.id).completedItems).isEqualTo(450)
    }
}
