package ragwortbarrow.core.batch

import org.junit.jupiter.api.Test
import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Tests the number of slots left for batch items with stale, silent and missing reports. */
class SpareSlotsTest {
    private val timer = ManualTimerService()
    private val spare = SpareSlots(timer, headroomSlots = { 1 })
    private val server = BackendServer(BackendServerId("s"), "", ARUSHA, slots = 8)

    private fun report(vm: String, incarnation: Long, sequence: Long, count: Int) =
        spare.accept(OnlineLoadReport(VmId(vm), incarnation, sequence, mapOf(server.id to count)))

    @Test
    fun `reports of all nodes are summed and a stale one is ignored`() {
        report("a", 1, 2, 2)
        report("b", 1, 1, 1)
        report("a", 1, 1, 5)
        expectThat(spare.maxItems(server)).isEqualTo(4)
    }

    @Test
    fun `a restarted reporter replaces its earlier counts`() {
        report("a", 1, 9, 5)
        report("a", 2, 1, 1)
        expectThat(spare.maxItems(server)).isEqualTo(6)
    }

    @Test
    fun `a reporter silent for three seconds is dropped`() {
        report("a", 1, 1, 5)
        timer.advance(2_999)
        spare.expire()
        expectThat(spare.maxItems(server)).isEqualTo(2)
        timer.advance(1)
        spare.expire()
        expectThat(spare.maxItems(server)).isEqualTo(7)
    }

    @Test
    fun `unreported load is subtracted, and load known at the time of the load report is not`() {
        report("a", 1, 1, 2)
        spare.setBatchInFlight(server.id, 4)
        timer.advance(2_500)
        report("a", 1, 2, 0)
        spare.accept(server.id, LoadReport(running = 6, waiting = 0, slots = 8, ageMillis = 500))
        expectThat(spare.maxItems(server)).isEqualTo(7)
        spare.accept(server.id, LoadReport(running = 8, waiting = 1, slots = 8, ageMillis = 500))
        expectThat(spare.maxItems(server)).isEqualTo(4)
    }
}
