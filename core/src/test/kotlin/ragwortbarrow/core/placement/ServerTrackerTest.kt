package ragwortbarrow.core.placement

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class ServerTrackerTest {
    private val timer = ManualTimerService()
    private val id = BackendServerId("a")
    private val tracker = ServerTracker(timer).apply {
        replace(listOf(BackendServer(id, "engines", "10.0.0.1:80", FailureDomainId("dalton"), slots = 8)))
    }

    @Test
    fun `a server that stalls during a response gets nothing new until it sends again`() {
        tracker.recordStart(id, isBatch = false)
        tracker.recordResponseStart(id)
        timer.advance(600)
        expectThat(tracker.isStalled(id)).isTrue()
        expectThat(tracker.eligible("engines")).hasSize(0)
        tracker.recordActivity(id)
        expectThat(tracker.eligible("engines")).hasSize(1)
    }

    /** During a jump in load, a full server queues requests; it is not stuck. */
    @Test
    fun `a server where requests are only queued does not count as stalled`() {
        tracker.recordStart(id, isBatch = true)
        timer.advance(5_000)
        expectThat(tracker.isStalled(id)).isFalse()
        expectThat(tracker.eligible("engines")).hasSize(1)
    }

    @Test
    fun `a server is paused after several unanswered requests in a row, unless it sent something in between`() {
        repeat(2) { tracker.recordUnanswered(id) }
        tracker.recordActivity(id)
        repeat(2) { tracker.recordUnanswered(id) }
        expectThat(tracker.eligible("engines")).hasSize(1)
        tracker.recordUnanswered(id)
        expectThat(tracker.eligible("engines")).hasSize(0)
    }

    @Test
    fun `a server without open responses does not count as stalled`() {
        tracker.recordResponseStart(id)
        tracker.recordResponseEnd(id)
        timer.advance(5_000)
        expectThat(tracker.isStalled(id)).isFalse()
    }

    @Test
    fun `the peer with the most batch items on a server is the one to ask for a slot`() {
        tracker.updatePeer(VmId("b"), mapOf(id to Occupancy(online = 5, batch = 1)))
        tracker.updatePeer(VmId("c"), mapOf(id to Occupancy(batch = 3)))
        expectThat(tracker.busiestBatchPeer(id)).isEqualTo(VmId("c"))
        tracker.removePeer(VmId("c"))
        tracker.removePeer(VmId("b"))
        expectThat(tracker.busiestBatchPeer(id)).isNull()
        expectThat(tracker.occupancy(id).total).isEqualTo(0)
    }

    @Test
    fun `a server that fails part of the requests of all nodes gets no more while others are healthy`() {
        val other = BackendServer(BackendServerId("b"), "engines", "10.0.0.2:80", FailureDomainId("dalton"), slots = 8)
        tracker.replace(
            listOf(BackendServer(id, "engines", "10.0.0.1:80", FailureDomainId("dalton"), slots = 8), other),
        )
        tracker.recordOnlineOutcome(id, isAnswered = true)
        tracker.recordOnlineOutcome(id, isAnswered = false)
        expectThat(tracker.eligible("engines")).hasSize(2)
        tracker.updatePeer(VmId("b"), emptyMap(), mapOf(id to ServerOutcomes(answered = 5, failed = 2)))
        expectThat(tracker.eligible("engines").single()).isEqualTo(other)
        tracker.recordOnlineOutcome(other.id, isAnswered = false)
        tracker.updatePeer(VmId("b"), emptyMap(), mapOf(id to ServerOutcomes(5, 2), other.id to ServerOutcomes(0, 9)))
        expectThat(tracker.eligible("engines")).hasSize(2)
    }

    @Test
    fun `a few failures among many successes do not exclude a server`() {
        repeat(40) { tracker.recordOnlineOutcome(id, isAnswered = true) }
        repeat(5) { tracker.recordOnlineOutcome(id, isAnswered = false) }
        expectThat(tracker.isFailing(id)).isFalse()
    }
}
