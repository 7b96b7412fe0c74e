package ragwortbarrow.core.placement

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

class BatchPlacementTest {
    private val domain = FailureDomainId("dalton")
    private val server = BackendServer(BackendServerId("a"), "engines", "10.0.0.1:80", domain, slots = 8)
    private val tracker = ServerTracker(ManualTimerService()).apply { replace(listOf(server)) }
    private val placement = BatchPlacement(tracker, domain, Random(1))

    @Test
    fun `an item with plenty of slack leaves half of a server free for a rise in online load`() {
        repeat(4) { tracker.recordStart(server.id, isBatch = true) }
        expectThat(placement.place("engines", Slack.PLENTY)).isNull()
        expectThat(placement.place("engines", Slack.SOME)).isNotNull()
    }

    @Test
    fun `an item without slack still leaves one slot free`() {
        repeat(7) { tracker.recordStart(server.id, isBatch = false) }
        expectThat(placement.place("engines", Slack.NONE)).isNull()
    }

    @Test
    fun `slack decreases as the due time approaches`() {
        expectThat(Urgency(dueInMillis = 18_000, runMillis = 5_000.0).slack).isEqualTo(Slack.PLENTY)
        expectThat(Urgency(dueInMillis = 9_000, runMillis = 5_000.0).slack).isEqualTo(Slack.SOME)
        expectThat(Urgency(dueInMillis = 5_500, runMillis = 5_000.0).slack).isEqualTo(Slack.NONE)
    }

    @Test
    fun `items that can complete in time go first, among them the one that is due first`() {
        val infeasible = Urgency(dueInMillis = 3_000, runMillis = 5_000.0)
        val overdue = Urgency(dueInMillis = -1, runMillis = 5_000.0)
        val soon = Urgency(dueInMillis = 6_000, runMillis = 5_000.0)
        val later = Urgency(dueInMillis = 17_000, runMillis = 5_000.0)
        expectThat(listOf(infeasible, later, overdue, soon).sortedWith(Urgency.MOST_URGENT_FIRST))
            .isEqualTo(listOf(soon, later, overdue, infeasible))
        expectThat(overdue.slack).isEqualTo(Slack.PLENTY)
    }

    @Test
    fun `online requests that find a server full take the slots of batch items`() {
        repeat(5) { tracker.recordStart(server.id, isBatch = true) }
        repeat(3) { tracker.recordStart(server.id, isBatch = false) }
        expectThat(placement.excessItems(server)).isEqualTo(0)
        repeat(2) { tracker.recordStart(server.id, isBatch = false) }
        expectThat(placement.excessItems(server)).isEqualTo(2)
    }

    @Test
    fun `nodes with items on one server share the number of slots to free`() {
        repeat(2) { tracker.recordStart(server.id, isBatch = true) }
        tracker.updatePeer(VmId("other"), mapOf(server.id to Occupancy(online = 8, batch = 2)))
        expectThat(placement.excessItems(server)).isEqualTo(2)
        tracker.updatePeer(VmId("other"), mapOf(server.id to Occupancy(online = 6, batch = 2)))
        expectThat(placement.excessItems(server)).isEqualTo(1)
    }

    /** In a large fleet, each item on an overloaded server usually belongs to a different node. */
    @Test
    fun `eight nodes with one item each free about one slot for one request`() {
        tracker.recordStart(server.id, isBatch = true)
        tracker.updatePeer(VmId("others"), mapOf(server.id to Occupancy(online = 1, batch = 7)))
        val freed = (1..8_000).sumOf { placement.excessItems(server) }
        expectThat(freed).isIn(900..1_100)
    }

    @Test
    fun `seventy nodes do not start many more items than there are free slots before they learn of each other`() {
        val started = (1..74 * 1_000).sumOf { placement.startQuota(nodes = 74) }
        expectThat(started / 1_000 * REPORT_PERIODS).isIn(server.slots..server.slots * 2)
    }

    @Test
    fun `a node without items on a server frees nothing`() {
        repeat(9) { tracker.recordStart(server.id, isBatch = false) }
        expectThat(placement.excessItems(server)).isEqualTo(0)
    }

    /** All see the loads of 300 ms before, and each starts one item meanwhile. */
    @Test
    fun `nodes that start items at the same time do not choose the same server`() {
        val servers = (1..11).map { server.copy(id = BackendServerId("s$it")) }
        val loads = servers.withIndex().associate { (index, it) -> it.id to Occupancy(online = 1 + index % 3) }
        val started = HashMap<BackendServerId, Int>()
        repeat(14) { node ->
            val seen = ServerTracker(ManualTimerService()).apply { replace(servers) }
            seen.updatePeer(VmId("others"), loads)
            val chosen = BatchPlacement(seen, domain, Random(node)).place("engines", Slack.NONE)
            started.merge(checkNotNull(chosen).id, 1, Int::plus)
        }
        expectThat(started.values.max()).isLessThanOrEqualTo(4)
    }

    private companion object {
        const val REPORT_PERIODS = 3
    }
}
