package ragwortbarrow.core.placement

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Places requests as the nodes of a small fleet do, in virtual time. */
class OnlinePlacementTest {
    private val timer = ManualTimerService()
    private val domain = FailureDomainId("dalton")
    private val board = ServerTracker(timer)
    private val holds = LatencyEstimates()
    private val placement = OnlinePlacement(board, holds, domain, Random(7))
    private val request = PlacementRequest(SERVICE, remainingTargetMillis = 300.0, remainingDeadlineMillis = 5_000)

    private fun server(name: String, inDomain: FailureDomainId = domain, slots: Int = 8) =
        BackendServer(BackendServerId(name), SERVICE, "10.0.0.1:80", inDomain, slots)

    @Test
    fun `a request goes to the emptier of two servers`() {
        board.replace(listOf(server("a"), server("b")))
        repeat(4) { board.recordStart(BackendServerId("a"), isBatch = false) }
        val placed = placement.place(request)
        expectThat(placed).isA<Placement.Send>().get { server.id.value }.isEqualTo("b")
    }

    /** Load pattern: a jump fills all servers; callers that are turned away come back while slots become free. */
    @Test
    fun `callers that are turned away come back when slots are expected and not all at once`() {
        board.replace(listOf(server("a")))
        holds.recordDuration(SERVICE, HOLD_MILLIS.toDouble())
        repeat(8) { board.recordStart(BackendServerId("a"), isBatch = false) }
        val returns = (1..100).map {
            (placement.place(request) as Placement.Full).retryAfterMillis
        }
        expectThat(returns.min()).isIn(HOLD_MILLIS..HOLD_MILLIS * 11 / 10)
        expectThat(returns.max()).isIn(HOLD_MILLIS * 14 / 10..HOLD_MILLIS * 15 / 10)
    }

    @Test
    fun `requests of other nodes count like own ones`() {
        board.replace(listOf(server("a"), server("b")))
        board.updatePeer(VmId("other"), mapOf(BackendServerId("a") to Occupancy(online = 3, batch = 2)))
        expectThat(placement.place(request)).isA<Placement.Send>().get { server.id.value }.isEqualTo("b")
    }

    @Test
    fun `servers of the own failure domain are used until they are clearly fuller`() {
        board.replace(listOf(server("near"), server("far", FailureDomainId("calhoun"))))
        expectThat(placement.place(request)).isA<Placement.Send>().get { server.id.value }.isEqualTo("near")
        repeat(6) { board.recordStart(BackendServerId("near"), isBatch = false) }
        expectThat(placement.place(request)).isA<Placement.Send>().get { server.id.value }.isEqualTo("far")
    }

    @Test
    fun `a draining server gets nothing`() {
        board.replace(listOf(server("a").copy(isDraining = true)))
        expectThat(placement.place(request)).isA<Placement.NoServer>()
    }

    @Test
    fun `a request that would come too late is turned away at once while its caller can come back`() {
        board.replace(listOf(server("a")))
        holds.recordDuration(SERVICE, 730.0)
        repeat(11) { board.recordStart(BackendServerId("a"), isBatch = false) }
        expectThat(placement.place(request)).isA<Placement.Full>()
    }

    /** Load pattern: a server dies while all servers are full, and its streams go on elsewhere past their target. */
    @Test
    fun `a request of which a part has run is not turned away for being late`() {
        board.replace(listOf(server("a")))
        holds.recordDuration(SERVICE, 730.0)
        repeat(11) { board.recordStart(BackendServerId("a"), isBatch = false) }
        expectThat(
            placement.place(request.copy(remainingTargetMillis = -200.0, isRefusable = false)),
        ).isA<Placement.Send>()
    }

    @Test
    fun `a queued request leaves only while another server can still answer in time`() {
        board.replace(listOf(server("a"), server("b")))
        holds.recordFirstByte(SERVICE, 70.0)
        val queued = request.copy(excludedServers = setOf(BackendServerId("a")))
        expectThat(placement.hasFreeAlternative(queued)).isEqualTo(true)
        expectThat(placement.hasFreeAlternative(queued.copy(remainingTargetMillis = 60.0))).isEqualTo(false)
        repeat(8) { board.recordStart(BackendServerId("b"), isBatch = false) }
        expectThat(placement.hasFreeAlternative(queued)).isEqualTo(false)
    }

    @Test
    fun `a node uses its own slots first and then any free one`() {
        board.replace(listOf(server("a", slots = 2), server("b", slots = 2), server("c", slots = 2)))
        placement.preferredSlots = mapOf(BackendServerId("b") to 1)
        val first = placement.place(request) as Placement.Send
        expectThat(first.server.id.value).isEqualTo("b")
        board.recordStart(first.server.id, isBatch = false)
        repeat(5) {
            val next = placement.place(request) as Placement.Send
            board.recordStart(next.server.id, isBatch = false)
        }
        expectThat(board.all().map { board.occupancy(it.id).total }.toSet()).isEqualTo(setOf(2))
    }

    @Test
    fun `a caller that cannot come back in time is served late rather than never`() {
        board.replace(listOf(server("a")))
        holds.recordDuration(SERVICE, 730.0)
        repeat(11) { board.recordStart(BackendServerId("a"), isBatch = false) }
        val short = request.copy(remainingDeadlineMillis = 1_000)
        expectThat(placement.place(short)).isA<Placement.Send>()
    }

    @Test
    fun `with every server paused after failures one of them is still tried`() {
        board.replace(listOf(server("a"), server("b")))
        listOf("a", "b").forEach { board.recordFailure(BackendServerId(it)) }
        expectThat(placement.place(request)).isA<Placement.Send>()
    }

    /**
     * Replays the sites' load: arrivals jump from a fifth of the slots to twice the slots for two seconds. Every
     * request that is accepted during the jump starts within its target, and the slots stay in use.
     */
    @Test
    fun `in a jump of the load accepted requests start within their target`() {
        val servers = (1..4).map { server("s$it") }
        board.replace(servers)
        holds.recordDuration(SERVICE, HOLD_MILLIS.toDouble())
        val engines = servers.associate { it.id to FifoEngine(it.slots) }
        var accepted = 0
        var refused = 0
        var slowestMillis = 0L
        val random = Random(3)
        for (nowMillis in 0L..6_000L) {
            timer.advance(1)
            engines.forEach { (id, engine) ->
                engine.finish(nowMillis).forEach { board.recordEnd(id, isBatch = false, startMillis = it) }
            }
            val perSecond = if (nowMillis in 2_000..4_000) 90.0 else 9.0
            if (random.nextDouble() >= perSecond / 1_000) continue
            when (val placed = placement.place(request)) {
                is Placement.Send -> {
                    val beganMillis = board.recordStart(placed.server.id, isBatch = false, placed.waitMillis)
                    accepted++
                    slowestMillis =
                        maxOf(
                            slowestMillis,
                            engines.getValue(placed.server.id).start(nowMillis, beganMillis) - nowMillis,
                        )
                }
                else -> refused++
            }
        }
        expectThat(slowestMillis).isLessThanOrEqualTo(300)
        expectThat(refused).isGreaterThan(0)
        // Two seconds at 32 slots of 730 ms are 87 requests; most of them are used.
        expectThat(accepted).isGreaterThan(85)
        expectThat(refused).isLessThan(130)
    }

    /** A server that runs [slots] requests and queues the rest in order of arrival. */
    private class FifoEngine(private val slots: Int) {
        private val runs = ArrayList<Pair<Long, Long>>()

        /** Returns when the request starts. */
        fun start(nowMillis: Long, beganMillis: Long): Long {
            val ends = runs.map { it.first }.sorted()
            val start = if (ends.size < slots) nowMillis else maxOf(nowMillis, ends[ends.size - slots])
            runs += start + HOLD_MILLIS to beganMillis
            return start
        }

        /** The requests that have ended, by when they began at the board. */
        fun finish(nowMillis: Long): List<Long> {
            val ended = runs.filter { it.first <= nowMillis }
            runs.removeAll(ended)
            return ended.map { it.second }
        }
    }

    private companion object {
        const val SERVICE = "engines"
        const val HOLD_MILLIS = 730L
    }
}
