package ragwortbarrow.core.batch

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.store.StoreFaultInjector
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Tests jobs on several nodes, from submission to output. */
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

    @Test
    fun `poison items fail after three attempts, the last alone, and the others complete`() {
        val fleet = SimulatedFleet(serverCount = 2)
        val job = fleet.submit(ids.take(100) + listOf("poison-1", "poison-2") + ids.drop(300))
        fleet.awaitState(job.id, JobState.COMPLETED)
        val output = fleet.output(job.id)
        expectThat(output.filter { "\"code\":\"5002\"" in it.second }.map { it.first })
            .isEqualTo(listOf("poison-1", "poison-2"))
        expectThat(output.size).isEqualTo(252)
        expectThat(fleet.engines.starts.filterKeys { it.startsWith("poison") }.values).all { isEqualTo(3) }
        expectThat(fleet.engines.poisonConcurrency.takeLast(2)).isEqualTo(listOf(0, 0))
    }

    @Test
    fun `items run during an outage and are recorded afterwards without running again`() {
        val fleet = SimulatedFleet { 5_000 }
        val job = fleet.submit(ids)
        fleet.timer.advance(2_000)
        fleet.faults = SimulatedFleet.OUTAGE
        fleet.timer.advance(120_000)
        val startedInOutage = fleet.engines.starts.size
        fleet.faults = StoreFaultInjector.NONE
        fleet.awaitState(job.id, JobState.COMPLETED)
        expectThat(startedInOutage).isGreaterThan(100)
        expectThat(fleet.engines.starts.values.max()).isEqualTo(1)
    }

    @Test
    fun `a graceful stop records results and releases chunks at once`() {
        val fleet = SimulatedFleet(nodeCount = 2) { 2_000 }
        val job = fleet.submit(ids)
        fleet.timer.advance(10_000)
        val stopped = fleet.node(1)
        fleet.await { stopped.runtime.stop() }
        stopped.kill()
        val finishedBefore = fleet.job(job.id).completedItems
        expectThat(finishedBefore).isGreaterThan(0)
        // Waiting for the lease to expire would take more than 30 s; released chunks are claimed within seconds.
        fleet.awaitState(job.id, JobState.COMPLETED, limitMillis = 60_000)
        expectThat(fleet.engines.starts.values.sum()).isLessThan(450 + 40)
    }

    @Test
    fun `two dispatchers for the same servers record each item once`() {
        val fleet = SimulatedFleet(nodeCount = 2)
        fleet.liveOf = { vm -> fleet.nodes.values.filter { it.info.vm == vm }.map { it.info } }
        val job = fleet.submit(ids)
        fleet.awaitState(job.id, JobState.COMPLETED)
        expectThat(fleet.output(job.id).map { it.first }).isEqualTo(ids)
        expectThat(fleet.engines.completions.values.max()).isEqualTo(1)
    }

    @Test
    fun `a burst of online requests preempts the newest items immediately`() {
        val fleet = SimulatedFleet(nodeCount = 1, serverCount = 1) { 5_000 }
        fleet.submit(ids)
        fleet.advanceUntil { fleet.engines.runningOn("s1") == 7 }
        fleet.node(1).runtime.onInFlightChanged(BackendServerId("s1"), 6, full = true)
        expectThat(fleet.engines.runningOn("s1")).isEqualTo(1)
        fleet.node(1).runtime.onInFlightChanged(BackendServerId("s1"), 0, full = false)
        fleet.timer.advance(200)
        expectThat(fleet.engines.runningOn("s1")).isEqualTo(7)
    }

    @Test
    fun `a holder that is lost to gossip but keeps its lease keeps its chunk`() {
        val fleet = SimulatedFleet(nodeCount = 2) { 20_000 }
        val job = fleet.submit(ids)
        fleet.timer.advance(3_000)
        fleet.liveOf = { vm -> fleet.nodes.values.filter { it.info.vm == vm }.map { it.info } }
        fleet.awaitState(job.id, JobState.COMPLETED)
        expectThat(fleet.engines.completions.values.max()).isEqualTo(1)
    }

    @Test
    fun `if leases are not awaited, the items of a holder that is lost to gossip run twice`() {
        val fleet = SimulatedFleet(nodeCount = 2, settings = BatchSettings(leaseMarginMillis = -30_000)) { 20_000 }
        val job = fleet.submit(ids)
        fleet.timer.advance(3_000)
        fleet.liveOf = { vm -> fleet.nodes.values.filter { it.info.vm == vm }.map { it.info } }
        fleet.awaitState(job.id, JobState.COMPLETED)
        expectThat(fleet.engines.completions.values.max()).isGreaterThan(1)
    }
}
