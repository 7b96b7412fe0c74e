package ragwortbarrow.core.placement

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Places requests like the nodes of a small fleet, in virtual time. */
class OnlinePlacementTest {
    private val timer = ManualTimerService()
    private val domain = FailureDomainId("dalton")
    private val tracker = ServerTracker(timer)
    private val latencies = LatencyEstimates()
    private val placement = OnlinePlacement(tracker, latencies, domain, timer, Random(7))
    private val request = PlacementRequest(SERVICE, remainingTargetMillis = 300.0, remainingDeadlineMillis = 5_000)

    private fun server(name: String, inDomain: FailureDomainId = domain, slots: Int = 8) =
        BackendServer(BackendServerId(name), SERVICE, "10.0.0.1:80", inDomain, slots)

    @Test
    fun `a request goes to the less loaded of two servers`() {
        tracker.replace(listOf(server("a"), server("b")))
        repeat(4) { tracker.recordStart(BackendServerId("a"), isBatch = false) }
        val placed = placement.place(request)
        expectThat(placed).isA<Placement.Send>().get { server.id.value }.isEqualTo("b")
    }

    /** A jump in load fills all servers, and rejected callers retry while slots become free. */
    @Test
    fun `rejected callers are told to retry when slots are expected to be free, and not all at once`() {
        tracker.replace(listOf(server("a")))
        latencies.recordDuration(SERVICE, DURATION_MILLIS.toDouble())
        repeat(8) { tracker.recordStart(BackendServerId("a"), isBatch = false) }
        val retriesMillis = (1..100).map {
            (placement.place(request) as Placement.Full).retryAfterMillis
        }
        expectThat(retriesMillis.min()).isIn(DURATION_MILLIS..DURATION_MILLIS * 11 / 10)
        expectThat(retriesMillis.max()).isIn(DURATION_MILLIS * 14 / 10..DURATION_MILLIS * 15 / 10)
    }

    @Test
    fun `requests of other nodes count like local ones`() {
        tracker.replace(listOf(server("a"), server("b")))
        tracker.updatePeer(VmId("other"), mapOf(BackendServerId("a") to Occupancy(online = 3, batch = 2)))
        expectThat(placement.place(request)).isA<Placement.Send>().get { server.id.value }.isEqualTo("b")
    }

    @Test
    fun `servers of the local failure domain are used until their load is clearly higher`() {
        tracker.replace(listOf(server("near"), server("far", FailureDomainId("calhoun"))))
        expectThat(placement.place(request)).isA<Placement.Send>().get { server.id.value }.isEqualTo("near")
        repeat(6) { tracker.recordStart(BackendServerId("near"), isBatch = false) }
        expectThat(placement.place(request)).isA<Placement.Send>().get { server.id.value }.isEqualTo("far")
    }

    @Test
    fun `a draining server gets nothing`() {
        tracker.replace(listOf(server("a").copy(isDraining = true)))
        expectThat(placement.place(request)).isA<Placement.NoServer>()
    }

    @Test
    fun `a request that would miss its target is rejected immediately if its caller can retry`() {
        tracker.replace(listOf(server("a")))
        latencies.recordDuration(SERVICE, 730.0)
        repeat(11) { tracker.recordStart(BackendServerId("a"), isBatch = false) }
        expectThat(placement.place(request)).isA<Placement.Full>()
    }

    /** A server fails while all servers are full, and its streams resume on other servers after their target. */
    @Test
    fun `a request that has partly run is not rejected for being late`() {
        tracker.replace(listOf(server("a")))
        latencies.recordDuration(SERVICE, 730.0)
        repeat(11) { tracker.recordStart(BackendServerId("a"), isBatch = false) }
        expectThat(placement.place(request.copy(remainingTargetMillis = -200.0, isRefusable = false)))
            .isA<Placement.Send>()
    }

    @Test
    fun `a queued request leaves only if another server can still meet the target`() {
        tracker.replace(listOf(server("a"), server("b")))
        latencies.recordFirstByte(SERVICE, 70.0)
        val queued = request.copy(excludedServers = setOf(BackendServerId("a")))
        expectThat(placement.hasFreeAlternative(queued)).isEqualTo(true)
        expectThat(placement.hasFreeAlternative(queued.copy(remainingTargetMillis = 60.0))).isEqualTo(false)
        repeat(8) { tracker.recordStart(BackendServerId("b"), isBatch = false) }
        expectThat(placement.hasFreeAlternative(queued)).isEqualTo(false)
    }

    @Test
    fun `a node uses its preferred slots first and then any free one`() {
        tracker.replace(listOf(server("a", slots = 2), server("b", slots = 2), server("c", slots = 2)))
        placement.preferredSlots = mapOf(BackendServerId("b") to 1)
        val first = placement.place(request) as Placement.Send
        expectThat(first.server.id.value).isEqualTo("b")
        tracker.recordStart(first.server.id, isBatch = false)
        repeat(5) {
            val next = placement.place(request) as Placement.Send
            tracker.recordStart(next.server.id, isBatch = false)
        }
        expectThat(tracker.all().map { tracker.occupancy(it.id).total }.toSet()).isEqualTo(setOf(2))
    }

    @Test
    fun `a caller without time to retry is served late instead of rejected`() {
        tracker.replace(listOf(server("a")))
        latencies.recordDuration(SERVICE, 730.0)
        repeat(11) { tracker.recordStart(BackendServerId("a"), isBatch = false) }
        val short = request.copy(remainingDeadlineMillis = 1_000)
        expectThat(placement.place(short)).isA<Placement.Send>()
    }

    @Test
    fun `with every server paused after failures one of them is still tried`() {
        tracker.replace(listOf(server("a"), server("b")))
        listOf("a", "b").forEach { tracker.recordFailure(BackendServerId(it)) }
        expectThat(placement.place(request)).isA<Placement.Send>()
    }

    /**
     * Simulates the load of the sites: arrivals jump from a fifth of the capacity to twice the capacity for two
     * seconds. Accepted requests have to start within their target, and the slots have to stay in use.
     */
    @Test
    fun `during a jump in load accepted requests start within their target`() {
        val servers = (1..4).map { server("s$it") }
        tracker.replace(servers)
        latencies.recordDuration(SERVICE, DURATION_MILLIS.toDouble())
        val fifoServers = servers.associate { it.id to FifoServer(it.slots) }
        var accepted = 0
        var rejected = 0
        var maxStartMillis = 0L
        val random = Random(3)
        for (nowMillis in 0L..6_000L) {
            timer.advance(1)
            fifoServers.forEach { (id, server) ->
                server.finish(nowMillis).forEach { tracker.recordEnd(id, isBatch = false, startMillis = it) }
            }
            val perSecond = if (nowMillis in 2_000..4_000) 90.0 else 9.0
            if (random.nextDouble() >= perSecond / 1_000) continue
            when (val placed = placement.place(request)) {
                is Placement.Send -> {
                    val recordedStartMillis = tracker.recordStart(placed.server.id, isBatch = false, placed.waitMillis)
                    accepted++
                    maxStartMillis =
                        maxOf(
                            maxStartMillis,
                            fifoServers.getValue(placed.server.id).start(nowMillis, recordedStartMillis) - nowMillis,
                        )
                }
                else -> rejected++
            }
        }
        expectThat(maxStartMillis).isLessThanOrEqualTo(300)
        expectThat(rejected).isGreaterThan(0)
        // In two seconds, 32 slots can run 87 requests of 730 ms; most of that capacity has to be used.
        expectThat(accepted).isGreaterThan(85)
        expectThat(rejected).isLessThan(130)
    }

    /** Servers that take one request per [intervalMillis] of this node, of which [savedCount] are saved up. */
    private class Limited(private val servers: Set<String>, var savedCount: Int, val intervalMillis: Double) :
        SendPermits {
        override fun waitMillis(server: BackendServer, isSpare: Boolean): Double = when {
            server.id.value !in servers -> 0.0
            savedCount == 0 || isSpare -> intervalMillis
            else -> 0.0
        }

        override fun permitsPerSecond(server: BackendServer): Double =
            if (server.id.value in servers) 1_000 / intervalMillis else Double.POSITIVE_INFINITY

        override fun recordSend(server: BackendServer) {
            if (server.id.value in servers) savedCount--
        }
    }

    @Test
    fun `requests go to servers without a limit first, so that limits last through a jump in load`() {
        val permits = Limited(setOf("limited"), savedCount = 3, intervalMillis = 500.0)
        val limitedTracker = ServerTracker(timer, permits = permits)
        limitedTracker.replace(listOf(server("limited"), server("free")))
        val limitedPlacement = OnlinePlacement(limitedTracker, latencies, domain, timer, Random(7))
        limitedPlacement.preferredSlots = emptyMap()
        latencies.recordDuration(SERVICE, DURATION_MILLIS.toDouble())
        val placed = (1..12).map {
            (limitedPlacement.place(request) as? Placement.Send)?.server?.id
                ?.also { id -> limitedTracker.recordStart(id, isBatch = false) }?.value
        }
        expectThat(placed).isEqualTo(List(8) { "free" } + List(3) { "limited" } + null)
    }

    /** Callers wait for at most a third of their 5 s. */
    @Test
    fun `callers whom no server takes are told one permit each, and the rest to come back late and not all at once`() {
        val permits = Limited(setOf("a", "b"), savedCount = 0, intervalMillis = 500.0)
        val limitedTracker = ServerTracker(timer, permits = permits)
        limitedTracker.replace(listOf(server("a"), server("b")))
        val limitedPlacement = OnlinePlacement(limitedTracker, latencies, domain, timer, Random(7))
        val placed = (1..105).map { limitedPlacement.place(request) as Placement.Full }
        expectThat(placed.map { it.waitMillis }).all { isEqualTo(500.0) }
        val retriesMillis = placed.map { it.retryAfterMillis }
        expectThat(retriesMillis.take(5)).isEqualTo(listOf(500L, 750L, 1_000L, 1_250L, 1_500L))
        expectThat(retriesMillis.drop(5)).all { isIn(833L..1_667L) }
        expectThat(retriesMillis.drop(5).count { it < 1_250 }).isIn(35..65)
    }

    /** The request waits for a server and is placed every few milliseconds meanwhile. */
    @Test
    fun `a request that cannot be rejected takes no permit from those that are told when to come back`() {
        val permits = Limited(setOf("a"), savedCount = 0, intervalMillis = 500.0)
        val limitedTracker = ServerTracker(timer, permits = permits)
        limitedTracker.replace(listOf(server("a")))
        val limitedPlacement = OnlinePlacement(limitedTracker, latencies, domain, timer, Random(7))
        repeat(50) { limitedPlacement.place(request.copy(isRefusable = false)) }
        expectThat(limitedPlacement.place(request)).isA<Placement.Full>().get { retryAfterMillis }.isEqualTo(500)
    }

    @Test
    fun `a request that sound servers take no more goes to no server that failed`() {
        val permits = Limited(setOf("a"), savedCount = 0, intervalMillis = 500.0)
        val limitedTracker = ServerTracker(timer, permits = permits)
        limitedTracker.replace(listOf(server("a"), server("dead"), server("failing")))
        repeat(8) {
            limitedTracker.recordFailure(BackendServerId("dead"))
            limitedTracker.recordOnlineOutcome(BackendServerId("failing"), isAnswered = false)
        }
        val limitedPlacement = OnlinePlacement(limitedTracker, latencies, domain, timer, Random(7))
        repeat(20) { expectThat(limitedPlacement.place(request)).isA<Placement.Full>() }
    }

    /** A server that runs [slots] requests at a time and queues the others in order of arrival. */
    private class FifoServer(private val slots: Int) {
        private val requests = ArrayList<Pair<Long, Long>>()

        /** Returns the time at which the request starts. */
        fun start(nowMillis: Long, recordedStartMillis: Long): Long {
            val ends = requests.map { it.first }.sorted()
            val start = if (ends.size < slots) nowMillis else maxOf(nowMillis, ends[ends.size - slots])
            requests += start + DURATION_MILLIS to recordedStartMillis
            return start
        }

        /** Removes the requests that have ended; returns their start times as recorded by the tracker. */
        fun finish(nowMillis: Long): List<Long> {
            val ended = requests.filter { it.first <= nowMillis }
            requests.removeAll(ended)
            return ended.map { it.second }
        }
    }

    private companion object {
        const val SERVICE = "engines"
        const val DURATION_MILLIS = 730L
    }
}
