package ragwortbarrow.core.batch

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.VmId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.random.Random

/**
 * Tests exactly-once results, cancellation and the single start of non-repeatable items while nodes are killed or
 * frozen between any two steps and the platform fails. One test removes the start records, to show that such fault
 * schedules then violate the invariant; [DelayedWriteTest] does the same for conditional updates.
 */
class BatchInvariantsTest {
    private val ids = (1..260).map { "item-$it" }

    @Property(tries = 40, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun `every item of a completed job has exactly one result that never changes`(@ForAll seed: Long) {
        expectThat(completionViolation(seed, StoreVariant.FAITHFUL)).isEqualTo(null)
    }

    @Property(tries = 40, seed = "20261205", shrinking = ShrinkingMode.OFF)
    fun `no result is recorded after a job is cancelled`(@ForAll seed: Long) {
        expectThat(cancellationViolation(seed, StoreVariant.FAITHFUL)).isEqualTo(null)
    }

    @Property(tries = 40, seed = "20261206", shrinking = ShrinkingMode.OFF)
    fun `a non-repeatable item starts at most once and has one result`(@ForAll seed: Long) {
        expectThat(singleStartViolation(seed, StoreVariant.FAITHFUL)).isEqualTo(null)
    }

    @Test
    fun `without start records non-repeatable items start twice`() {
        expectThat(firstViolation { singleStartViolation(it, StoreVariant.NO_START_RECORDS) }).isNotNull()
    }

    /** Returns the first violation under 30 fault schedules. A run that does not finish is a violation as well. */
    private fun firstViolation(run: (Long) -> String?): String? = (1L..30L).firstNotNullOfOrNull { seed ->
        runCatching { run(seed) }.getOrElse { it.message }
    }

    private fun fleet(seed: Long, variant: StoreVariant): SimulatedFleet {
        val random = Random(seed)
        return SimulatedFleet(variant = variant) { random.nextLong(200, 6_000) }
    }

    private fun completionViolation(seed: Long, variant: StoreVariant): String? {
        val fleet = fleet(seed, variant)
        val job = fleet.submit(ids)
        val recordedResults = RecordedResults(fleet)
        FaultSchedule(fleet, seed).run()
        fleet.awaitState(job.id, JobState.COMPLETED, LIMIT_MILLIS)
        fleet.timer.advance(60_000)
        val listed = fleet.output(job.id).map { it.first }
        return recordedResults.firstViolation() ?: "output $listed".takeIf { listed != ids }
    }

    private fun cancellationViolation(seed: Long, variant: StoreVariant): String? {
        val fleet = fleet(seed, variant)
        val job = fleet.submit(ids)
        val random = Random(seed)
        FaultSchedule(fleet, seed).run(random.nextLong(1_000, 30_000))
        val canceller = fleet.add(VmId("vm-9"), 1)
        val cancelled = fleet.await { canceller.runtime.service.cancelJob(PRINTER, job.id) }
        if (cancelled.isErr) return null
        FaultSchedule(fleet, seed + 1).run(30_000)
        fleet.awaitState(job.id, JobState.CANCELLED, LIMIT_MILLIS)
        val atCancel = fleet.output(job.id)
        val counted = fleet.job(job.id).completedItems
        FaultSchedule(fleet, seed + 2).run(30_000)
        fleet.timer.advance(60_000)
        val later = fleet.output(job.id)
        val duplicates = later.groupingBy { it.first }.eachCount().filterValues { it > 1 }
        return when {
            later != atCancel -> "${later.size} results, ${atCancel.size} at the time of the cancellation"
            counted != later.size -> "$counted counted, ${later.size} recorded"
            fleet.engines.totalRunning() > 0 -> "items are still running"
            duplicates.isNotEmpty() -> "duplicates $duplicates"
            else -> null
        }
    }

    private fun singleStartViolation(seed: Long, variant: StoreVariant): String? {
        val fleet = fleet(seed, variant)
        val job = fleet.submit(ids, LABELS_ENDPOINT)
        FaultSchedule(fleet, seed).run()
        fleet.awaitState(job.id, JobState.COMPLETED, LIMIT_MILLIS)
        val repeated = fleet.engines.starts.filterValues { it > 1 }
        val listed = fleet.output(job.id).map { it.first }
        return when {
            repeated.isNotEmpty() -> "repeated $repeated"
            listed != ids -> "output $listed"
            else -> null
        }
    }

    private companion object {
        /** High, because a chunk that lost several holders in a row runs one item at a time. */
        const val LIMIT_MILLIS = 7_200_000L
    }
}
