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

/** Guards against a commit that reaches the platform after its holder lost the chunk or its job was cancelled. */
class LateWriteTest {
    private val ids = (1..20).map { "item-$it" }

    @Test
    fun `a commit that arrives after a takeover is refused`() {
        expectThat(commitAfterTakeover(StoreVariant.FAITHFUL)).isEqualTo(null)
    }

    @Test
    fun `without conditional updates a commit after a takeover changes results`() {
        expectThat(commitAfterTakeover(StoreVariant.UNCONDITIONAL)).isNotNull()
    }

    @Test
    fun `a commit that arrives after a job is cancelled is refused`() {
        val (atCancel, later) = commitAfterCancel(StoreVariant.FAITHFUL)
        expectThat(later).isEqualTo(atCancel)
    }

    @Test
    fun `without conditional updates a commit after a job is cancelled is recorded`() {
        val (atCancel, later) = commitAfterCancel(StoreVariant.UNCONDITIONAL)
        expectThat(later).isNotEqualTo(atCancel)
    }

    private fun commitAfterTakeover(variant: StoreVariant): String? {
        val fleet = SimulatedFleet(variant = variant)
        val watched = RecordedResults(fleet)
        val late = LateWrite(fleet, 200_000)
        val job = fleet.submit(ids)
        fleet.advanceUntil { late.started }
        fleet.node(late.holder()).freeze()
        fleet.awaitState(job.id, JobState.COMPLETED)
        fleet.timer.advance(250_000)
        return watched.broken()
    }

    private fun commitAfterCancel(variant: StoreVariant): Pair<Int, Int> {
        val fleet = SimulatedFleet(variant = variant)
        val late = LateWrite(fleet, 100_000)
        val job = fleet.submit(ids)
        fleet.advanceUntil { late.started }
        fleet.ok { fleet.node(1).runtime.service.cancelJob(PRINTER, job.id) }
        fleet.awaitState(job.id, JobState.CANCELLED)
        val atCancel = fleet.output(job.id).size
        fleet.timer.advance(150_000)
        return atCancel to fleet.output(job.id).size
    }

    /** Delays the first commit of the job's only chunk on its way to the platform. */
    private class LateWrite(private val fleet: SimulatedFleet, delayMillis: Long) {
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
            val chunks = fleet.await { BatchReader(fleet.store).all(ObjectKind.BATCH_CHUNKS, emptyMap(), false) }.get()
            return checkNotNull(chunks).single().record<ChunkRecord>().holder.toString()
        }
    }
}
