package ragwortbarrow.core.placement

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

class BatchPlacementTest {
    private val domain = FailureDomainId("dalton")
    private val server = BackendServer(BackendServerId("a"), "engines", "10.0.0.1:80", domain, slots = 8)
    private val board = ServerTracker(ManualTimerService()).apply { replace(listOf(server)) }
    private val placement = BatchPlacement(board, domain, Random(1))

    @Test
    fun `an item in no hurry leaves half of a server free for a rise of online load`() {
        repeat(4) { board.recordStart(server.id, isBatch = true) }
        expectThat(placement.place("engines", Slack.PLENTY)).isNull()
        expectThat(placement.place("engines", Slack.SOME)).isNotNull()
    }

    @Test
    fun `an item that is nearly due still leaves one slot free`() {
        repeat(7) { board.recordStart(server.id, isBatch = false) }
        expectThat(placement.place("engines", Slack.NONE)).isNull()
    }

    @Test
    fun `slack shrinks as the due time comes closer`() {
        expectThat(Urgency(dueInMillis = 18_000, runMillis = 5_000.0).slack).isEqualTo(Slack.PLENTY)
        expectThat(Urgency(dueInMillis = 9_000, runMillis = 5_000.0).slack).isEqualTo(Slack.SOME)
        expectThat(Urgency(dueInMillis = 5_500, runMillis = 5_000.0).slack).isEqualTo(Slack.NONE)
    }

    @Test
    fun `items that can still be in time go first, the one that is due first before the others`() {
        val lost = Urgency(dueInMillis = 3_000, runMillis = 5_000.0)
        val past = Urgency(dueInMillis = -1, runMillis = 5_000.0)
        val soon = Urgency(dueInMillis = 6_000, runMillis = 5_000.0)
        val later = Urgency(dueInMillis = 17_000, runMillis = 5_000.0)
        expectThat(listOf(lost, later, past, soon).sortedWith(Urgency.MOST_URGENT_FIRST))
            .isEqualTo(listOf(soon, later, past, lost))
        expectThat(past.slack).isEqualTo(Slack.PLENTY)
    }

    @Test
    fun `online requests that find a server full take the slots of batch items`() {
        repeat(5) { board.recordStart(server.id, isBatch = true) }
        repeat(3) { board.recordStart(server.id, isBatch = false) }
        expectThat(placement.excessItems(server)).isEqualTo(0)
        repeat(2) { board.recordStart(server.id, isBatch = false) }
        expectThat(placement.excessItems(server)).isEqualTo(2)
    }

    @Test
    fun `nodes with items on one server share what has to be given back`() {
        repeat(2) { board.recordStart(server.id, isBatch = true) }
        board.updatePeer(VmId("other"), mapOf(server.id to Occupancy(online = 8, batch = 2)))
        expectThat(placement.excessItems(server)).isEqualTo(2)
        board.updatePeer(VmId("other"), mapOf(server.id to Occupancy(online = 6, batch = 2)))
        expectThat(placement.excessItems(server)).isEqualTo(1)
    }

    /** Load pattern: in a large fleet each item at a crowded server is another node's. */
    @Test
    fun `eight nodes with one item each give about one slot back for one request`() {
        board.recordStart(server.id, isBatch = true)
        board.updatePeer(VmId("others"), mapOf(server.id to Occupancy(online = 1, batch = 7)))
        val givenBack = (1..8_000).sumOf { placement.excessItems(server) }
        expectThat(givenBack).isIn(900..1_100)
    }

    @Test
    fun `seventy nodes together start fewer items than there are spare slots before they know of each other's`() {
        val started = (1..74 * 1_000).sumOf { placement.startQuota(nodes = 74) }
        expectThat(started / 1_000 * REPORT_PERIODS).isIn(server.slots..server.slots * 2)
    }

    @Test
    fun `a node without items on a server gives nothing back`() {
        repeat(9) { board.recordStart(server.id, isBatch = false) }
        expectThat(placement.excessItems(server)).isEqualTo(0)
    }

    private companion object {
        const val REPORT_PERIODS = 3
    }
}
