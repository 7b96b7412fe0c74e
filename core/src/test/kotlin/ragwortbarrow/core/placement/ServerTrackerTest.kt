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
    private val board = ServerTracker(timer).apply {
        replace(listOf(BackendServer(id, "engines", "10.0.0.1:80", FailureDomainId("dalton"), slots = 8)))
    }

    @Test
    fun `a server that falls silent within an answer gets nothing new until it is heard again`() {
        board.recordStart(id, isBatch = false)
        board.recordResponseStart(id)
        timer.advance(600)
        expectThat(board.isStalled(id)).isTrue()
        expectThat(board.eligible("engines")).hasSize(0)
        board.recordActivity(id)
        expectThat(board.eligible("engines")).hasSize(1)
    }

    /** In a jump of the load a server with full slots lets requests queue; it is not stuck. */
    @Test
    fun `a server where requests only queue does not count as silent`() {
        board.recordStart(id, isBatch = true)
        timer.advance(5_000)
        expectThat(board.isStalled(id)).isFalse()
        expectThat(board.eligible("engines")).hasSize(1)
    }

    @Test
    fun `a server from which requests leave unanswered is paused, unless something came from it meanwhile`() {
        repeat(2) { board.recordUnanswered(id) }
        board.recordActivity(id)
        repeat(2) { board.recordUnanswered(id) }
        expectThat(board.eligible("engines")).hasSize(1)
        board.recordUnanswered(id)
        expectThat(board.eligible("engines")).hasSize(0)
    }

    @Test
    fun `a server whose answers have ended is not waited for`() {
        board.recordResponseStart(id)
        board.recordResponseEnd(id)
        timer.advance(5_000)
        expectThat(board.isStalled(id)).isFalse()
    }

    @Test
    fun `the node with most batch items at a server is the one to ask for a slot`() {
        board.updatePeer(VmId("b"), mapOf(id to Occupancy(online = 5, batch = 1)))
        board.updatePeer(VmId("c"), mapOf(id to Occupancy(batch = 3)))
        expectThat(board.busiestBatchPeer(id)).isEqualTo(VmId("c"))
        board.removePeer(VmId("c"))
        board.removePeer(VmId("b"))
        expectThat(board.busiestBatchPeer(id)).isNull()
        expectThat(board.occupancy(id).total).isEqualTo(0)
    }

    @Test
    fun `a server that fails part of its requests at all nodes gets no more while others are sound`() {
        val other = BackendServer(BackendServerId("b"), "engines", "10.0.0.2:80", FailureDomainId("dalton"), slots = 8)
        board.replace(listOf(BackendServer(id, "engines", "10.0.0.1:80", FailureDomainId("dalton"), slots = 8), other))
        board.recordOnlineOutcome(id, isAnswered = true)
        board.recordOnlineOutcome(id, isAnswered = false)
        expectThat(board.eligible("engines")).hasSize(2)
        board.updatePeer(VmId("b"), emptyMap(), mapOf(id to ServerOutcomes(answered = 5, failed = 2)))
        expectThat(board.eligible("engines").single()).isEqualTo(other)
        board.recordOnlineOutcome(other.id, isAnswered = false)
        board.updatePeer(VmId("b"), emptyMap(), mapOf(id to ServerOutcomes(5, 2), other.id to ServerOutcomes(0, 9)))
        expectThat(board.eligible("engines")).hasSize(2)
    }

    @Test
    fun `failures that are few among many answers do not take a server out`() {
        repeat(40) { board.recordOnlineOutcome(id, isAnswered = true) }
        repeat(5) { board.recordOnlineOutcome(id, isAnswered = false) }
        expectThat(board.isFailing(id)).isFalse()
    }
}
