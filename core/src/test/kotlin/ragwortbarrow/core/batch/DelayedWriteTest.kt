package ragwortbarrow.core.batch

import com.github.michaelbull.result.get
import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreFault
import ragwortbarrow.core.store.StoreFaultInjector
import ragwortbarrow.core.store.StoreOperation
import ragwortbarrow.core.time.pause
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull

/** Tests that a commit that reaches the platform after a takeover or a cancellation of the job is rejected. */
class DelayedWriteTest {
    private val ids = (1..20).map { "item-$it" }

    @Test
    fun `a commit that arrives after a takeover is rejected`() {
        expectThat(commitAfterTakeover(StoreVariant.FAITHFUL)).isEqualTo(null)
    }

    @Test
    fun `without conditional updates a commit after a takeover changes results`() {
        expectThat(commitAfterTakeover(StoreVariant.UNCONDITIONAL)).isNotNull()
    }

    @Test
    fun `a commit that arrives after the job is cancelled is rejected`() {
        val (atCancel, later) = commitAfterCancel(StoreVariant.FAITHFUL)
        expectThat(later).isEqualTo(atCancel)
    }

    @Test
    fun `without conditional updates a commit after the job is cancelled is recorded`() {
        val (atCancel, later) = commitAfterCancel(StoreVariant.UNCONDITIONAL)
        expectThat(later).isNotEqualTo(atCancel)
    }

    private fun commitAfterTakeover(variant: StoreVariant): String? {
        val fleet = SimulatedFleet(variant = variant)
        val recordedResults = RecordedResults(fleet)
        val delayedWrite = DelayedWrite(fleet, 200_000)
        val job = fleet.submit(ids)
        fleet.advanceUntil { delayedWrite.started }
        fleet.node(delayedWrite.holder()).freeze()
        fleet.awaitState(job.id, JobState.COMPLETED)
        fleet.timer.advance(250_000)
        return recordedResults.firstViolation()
    }

    private fun commitAfterCancel(variant: StoreVariant): Pair<Int, Int> {
        val fleet = SimulatedFleet(variant = variant)
        val delayedWrite = DelayedWrite(fleet, 100_000)
        val job = fleet.submit(ids)
        fleet.advanceUntil { delayedWrite.started }
        fleet.ok { fleet.node(1).runtime.service.cancelJob(PRINTER, job.id) }
        fleet.awaitState(job.id, JobState.CANCELLED)
        val atCancel = fleet.output(job.id).size
        fleet.timer.advance(150_000)
        return atCancel to fleet.output(job.id).size
    }

    /** Delays the first commit of the job's only chunk before it reaches the platform. */
    private class DelayedWrite(private val fleet: SimulatedFleet, delayMillis: Long) {
        private var writes = 0
        val started: Boolean get() = writes >= 2

        init {
            fleet.faults = StoreFaultInjector { operation, kind, _ ->
                if (operation == StoreOperation.WRITE && kind == ObjectKind.BATCH_CHUNKS && ++writes == 2) {
                    fleet.timer.pause(delayMillis)
                }
                StoreFault.None
            }
        }

        fun holder(): Int = fleet.nodes.keys.indexOf(VmId(chunkHolder())) + 1

        private fun chunkHolder(): String {
            val chunks =
                fleet.await { BatchReader(fleet.store).listAll(ObjectKind.BATCH_CHUNKS, emptyMap(), false) }.get()
            return checkNotNull(chunks).single().record<ChunkRecord>().holder.toString()
        }
    }
}
