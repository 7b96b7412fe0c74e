package ragwortbarrow.core.placement

import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.serverlimit.LimitHolders
import ragwortbarrow.core.serverlimit.RequestLimit
import ragwortbarrow.core.serverlimit.ServerLimits
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.monotonicMillis
import kotlin.math.ln
import kotlin.random.Random

/**
 * Simulates callers of a service whose servers all limit their requests. A caller that is rejected comes back once, at
 * any node, after the time that it was told.
 */
internal class LimitedServersSimulation(
    nodes: Int = 7,
    servers: Int = 9,
    limitPerSecond: Double = 2.5,
    private val deadlineMillis: Long = 15_000,
    seed: Int = 5,
) {
    private val timer = ManualTimerService()
    private val arrivals = Random(seed)
    private val balancer = Random(seed)
    private val domain = FailureDomainId("dalton")
    private val list = (1..servers).map {
        BackendServer(BackendServerId("server-$it"), SERVICE, "10.0.0.$it:80", domain, slots = 8)
    }
    private val members = (1..nodes).map { FleetNode(VmId("vm-$it"), "10.0.1.$it:1", incarnation = 1, domain) }
    private val limits = members.map { self ->
        val known = FleetMembers(self, timer).apply { members.filter { it != self }.forEach { addMember(it) } }
        ServerLimits(LimitHolders(known), timer, DecisionLog.NONE)
    }
    private val trackers = limits.map { permits -> ServerTracker(timer, permits = permits).also { it.replace(list) } }
    private val placements = trackers.mapIndexed { index, tracker ->
        OnlinePlacement(tracker, LatencyEstimates(), domain, timer, Random(seed + index))
    }
    private val returnsMillis = ArrayList<Long>()

    /** Requests that were sent to a server, and callers that were rejected twice. */
    var served = 0
        private set
    var rejectedTwice = 0
        private set

    init {
        timer.advance(START_MILLIS)
        for (server in list) {
            limits.forEach { it.recordResponse(server, RequestLimit.PerSecond(limitPerSecond)) }
        }
        timer.advance(START_MILLIS)
    }

    /** New callers arrive for [millis]. */
    fun load(requestsPerSecond: Double, millis: Long) {
        val startMillis = timer.monotonicMillis()
        var atMillis = 0.0
        while (true) {
            atMillis -= ln(1 - arrivals.nextDouble()) / requestsPerSecond * 1_000
            if (atMillis > millis) break
            timer.advance((startMillis + atMillis.toLong() - timer.monotonicMillis()).coerceAtLeast(0))
            call(deadlineMillis, isReturn = false)
        }
        timer.advance((startMillis + millis - timer.monotonicMillis()).coerceAtLeast(0))
    }

    /** Callers that came back. */
    val returned: Int get() = returnsMillis.size

    /** The most callers that came back within [windowMillis]. */
    fun mostReturns(windowMillis: Long): Int =
        returnsMillis.maxOfOrNull { start -> returnsMillis.count { it in start until start + windowMillis } } ?: 0

    private fun call(remainingMillis: Long, isReturn: Boolean) {
        if (isReturn) returnsMillis += timer.monotonicMillis()
        val node = balancer.nextInt(placements.size)
        val request = PlacementRequest(SERVICE, TARGET_MILLIS, remainingMillis)
        when (val placed = placements[node].place(request)) {
            is Placement.Send -> serve(trackers[node], placed)
            is Placement.NoServer -> error("the servers are sound")
            is Placement.Full -> if (isReturn) {
                rejectedTwice++
            } else {
                timer.once(placed.retryAfterMillis) { call(remainingMillis - placed.retryAfterMillis, isReturn = true) }
            }
        }
    }

    private fun serve(tracker: ServerTracker, placed: Placement.Send) {
        served++
        val startMillis = tracker.recordStart(placed.server.id, isBatch = false)
        timer.once(DURATION_MILLIS) { tracker.recordEnd(placed.server.id, isBatch = false, startMillis = startMillis) }
    }

    private companion object {
        const val SERVICE = "engines"

        /** More than a share of a limit takes until it binds, and until all that can be saved up is. */
        const val START_MILLIS = 5_000L
        const val TARGET_MILLIS = 300.0
        const val DURATION_MILLIS = 700L
    }
}
