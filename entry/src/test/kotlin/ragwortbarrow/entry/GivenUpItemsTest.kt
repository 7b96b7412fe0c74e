package ragwortbarrow.entry

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import ragwortbarrow.core.jobs.BatchJob
import ragwortbarrow.core.jobs.ResultLog
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** An item that was listed as given up can never be done, so none may be while its job can still run. */
class GivenUpItemsTest {
    private val fixture = JobRunnerFixture(isConfigured = false)
    private val runner = fixture.runner

    @AfterEach
    fun close() = fixture.close()

    private fun start(job: BatchJob, isTakenOver: Boolean = true) {
        runner.startJob(job, ResultLog(job.items.size), isTakenOver)
        rebalance()
    }

    private fun rebalance() {
        fixture.timer.advance(100)
        runner.rebalance()
        fixture.dispatcher.runQueued()
    }

    private fun givenUpItems(): Int = checkNotNull(runner.activeJob("job")).let {
        it.log.size + it.unstoredResults.size
    }

    @Test
    fun `a job waits while its node has no configuration, and starts with the first one`() {
        start(fixture.job(items = 3))
        expectThat(givenUpItems()).isEqualTo(0)
        fixture.configure(version = 1, listOf(fixture.route))
        rebalance()
        expectThat(runner.runningItems).isEqualTo(3)
    }

    @Test
    fun `a configuration that is older than the job does not tell that its route is gone`() {
        fixture.configure(version = 4, emptyList())
        start(fixture.job(items = 3).copy(configurationVersion = 5))
        expectThat(givenUpItems()).isEqualTo(0)
        fixture.configure(version = 5, listOf(fixture.route))
        rebalance()
        expectThat(runner.runningItems).isEqualTo(3)
    }

    @Test
    fun `items are given up once a configuration as new as their job lacks the route`() {
        fixture.configure(version = 6, emptyList())
        start(fixture.job(items = 3).copy(configurationVersion = 5))
        expectThat(givenUpItems()).isEqualTo(3)
    }

    @Test
    fun `a job of an earlier release is given up only if its route was seen before`() {
        fixture.configure(version = 6, emptyList())
        start(fixture.job(items = 3).copy(configurationVersion = null))
        expectThat(givenUpItems()).isEqualTo(0)
        fixture.configure(version = 7, listOf(fixture.route))
        fixture.tracker.replace(emptyList())
        rebalance()
        fixture.configure(version = 8, emptyList())
        fixture.tracker.replace(fixture.servers)
        rebalance()
        expectThat(givenUpItems()).isEqualTo(3)
    }

    /** The clock of the node that accepted the job may be seconds behind. */
    @Test
    fun `a job that was taken over is not given up early by a clock that is ahead`() {
        fixture.tracker.replace(emptyList())
        fixture.configure(version = 1, listOf(fixture.route))
        val maxWaitMillis = fixture.route.maxWaitMillis
        val job = fixture.job(items = 3)
        start(job.copy(submittedWallMillis = job.submittedWallMillis - maxWaitMillis - 4_000))
        expectThat(givenUpItems()).isEqualTo(0)
        fixture.timer.advance(1_000)
        rebalance()
        expectThat(givenUpItems()).isEqualTo(3)
    }
}
