package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import kotlin.math.ceil
import kotlin.random.Random

/** Where a request goes, or why it goes nowhere. */
sealed interface Placement {
    /** Send to [server]; [waitMillis] is how long it is expected to queue there. */
    data class Send(val server: BackendServer, val waitMillis: Double) : Placement

    /** No server of the service can be used now. */
    data class NoServer(val retryAfterMillis: Long) : Placement

    /** Every server is so full that the answer would come after its target. */
    data class Full(val waitMillis: Double, val retryAfterMillis: Long) : Placement
}

/** The inputs of one placement. */
data class PlacementRequest(
    val service: String,
    /** What is left of the time within which the answer has its full value. */
    val remainingTargetMillis: Double,
    /** What is left until the caller gives up. */
    val remainingDeadlineMillis: Long,
    val excludedServers: Set<BackendServerId> = emptySet(),
    /** False if a part of the request may have run: its caller could not be told that it has not. */
    val isRefusable: Boolean = true,
)

/**
 * Chooses the backend server for an online request, or turns the request away.
 *
 * Load pattern: arrivals jump to five times their rate within a second and stay there for some seconds. Backend servers
 * admit in order of arrival, so a request that is sent to a full server delays all after it. A request whose first byte
 * would come after its target is worth little to its caller, and a slot that it takes makes the next ones late too.
 * Such a request is turned away at once, while its caller still has time to come back.
 *
 * Several nodes choose at the same time from loads that are some hundred milliseconds old. Each therefore prefers slots
 * that no other node prefers ([preferredSlots]), then a free slot by lot, and only without any the emptiest server.
 */
class OnlinePlacement(
    private val board: ServerTracker,
    private val holds: LatencyEstimates,
    private val ownDomain: FailureDomainId,
    private val random: Random = Random.Default,
) {
    /** The number of slots of servers that no other node prefers, as [PreferredSlots] deals them; null for a node alone. */
    var preferredSlots: Map<BackendServerId, Int>? = null

    fun place(request: PlacementRequest): Placement {
        val candidates = board.eligible(request.service, request.excludedServers)
        if (candidates.isEmpty()) return fallback(request)
        val best = choose(candidates)
        val waitMillis = waitMillis(best)
        val expectedMillis = waitMillis + holds.firstByteMillis(request.service)
        val isLate = expectedMillis > request.remainingTargetMillis * TARGET_SHARE
        val isHopeless = expectedMillis > request.remainingDeadlineMillis
        // For a caller with little time a late answer is mostly its only answer.
        val canReturn = request.remainingDeadlineMillis / RETRY_SHARE >= RETURN_MILLIS
        return when {
            request.isRefusable && (isHopeless || (isLate && canReturn && waitMillis > 0)) ->
                Placement.Full(waitMillis, retryAfterMillis(waitMillis, request))
            !board.tryAcquire(best.id) -> fallback(request.copy(excludedServers = request.excludedServers + best.id))
            else -> Placement.Send(best, waitMillis)
        }
    }

    /**
     * How long a request that may be sent again waits at a server where it is expected to wait [waitMillis].
     *
     * Load pattern: several nodes chose the same server from old loads, or the server has fallen silent. A request that
     * has no first byte after a time in which nearly all others have one is probably queued, and there is still time
     * to have the answer from another server before the target.
     */
    fun firstByteTimeoutMillis(service: String, waitMillis: Double): Long {
        val firstByteMillis = holds.firstByteMillis(service).takeIf { it > 0 } ?: UNKNOWN_FIRST_BYTE_MILLIS
        return (waitMillis + maxOf(firstByteMillis * PATIENCE, firstByteMillis + LEAST_SCATTER_MILLIS)).toLong()
    }

    /** Whether a server outside [PlacementRequest.excludedServers] has a free slot and can still answer within the target. */
    fun hasFreeAlternative(request: PlacementRequest): Boolean =
        holds.firstByteMillis(request.service) <= request.remainingTargetMillis &&
            board.eligible(request.service, request.excludedServers).any { board.occupancy(it.id).total < it.slots }

    private fun choose(candidates: List<BackendServer>): BackendServer {
        val shared = preferredSlots?.let { homes ->
            homeServer(candidates, homes)
                ?: byLot(candidates) { it.total }
                // Batch items leave for online requests, but that takes a moment and interrupts their work.
                ?: byLot(candidates) { it.online }
        }
        return shared ?: candidates.minBy { score(it) }
    }

    /** The emptiest of the servers at which this node has a home slot to spare and where a slot is free. */
    private fun homeServer(candidates: List<BackendServer>, homes: Map<BackendServerId, Int>): BackendServer? =
        candidates
            .filter {
                val spare = (homes[it.id] ?: 0) - board.localOccupancy(it.id).online
                spare > 0 && board.occupancy(it.id).total < it.slots
            }
            .minByOrNull { score(it) }

    /** A server by lot, each free slot counting once; from other failure domains only when few are free in this one. */
    private fun byLot(candidates: List<BackendServer>, taken: (Occupancy) -> Int): BackendServer? {
        val near = candidates.filter { it.failureDomain == ownDomain }
        return draw(near, leastFreeShare = NEAR_FREE_SHARE, taken) ?: draw(candidates, leastFreeShare = 0.0, taken)
    }

    private fun draw(from: List<BackendServer>, leastFreeShare: Double, taken: (Occupancy) -> Int): BackendServer? {
        val free = from.map { (it.slots - taken(board.occupancy(it.id))).coerceAtLeast(0) }
        val total = free.sum()
        if (total == 0 || total < from.sumOf { it.slots } * leastFreeShare) return null
        var left = random.nextInt(total)
        return from[free.indexOfFirst { count -> (left < count).also { left -= count } }]
    }

    /** How long a new request would wait at [server] before it runs. */
    fun waitMillis(server: BackendServer): Double {
        val load = board.occupancy(server.id)
        return when {
            load.total < server.slots -> 0.0
            load.online < server.slots -> YIELD_MILLIS
            else -> departureMillis(server, load.online - server.slots + 1)
        }
    }

    /**
     * When the [count]th of the online requests at [server] will have left. The ages of this node's own are known.
     * After a jump of the load most are young, so the first slot becomes free much later than on average. Those of
     * other nodes are taken to be spread evenly over the time that a request takes.
     */
    private fun departureMillis(server: BackendServer, count: Int): Double {
        val holdMillis = holds.holdMillis(server.service)
        val own = board.ownOnlineAges(server.id).map { (holdMillis - it).coerceAtLeast(0.0) }
        val others = board.occupancy(server.id).online - own.size
        val assumed = (1..others).map { holdMillis * it / (others + 1) }
        return (own + assumed).sorted()[count - 1]
    }

    private fun score(server: BackendServer): Double {
        val load = board.occupancy(server.id).total.toDouble() / server.slots
        val remote = if (server.failureDomain == ownDomain) 0.0 else REMOTE_PENALTY
        return load + remote + random.nextDouble() * TIE_SPREAD
    }

    /** With every server paused after failures, one is still tried, because pauses may outlast the cause. */
    private fun fallback(request: PlacementRequest): Placement {
        val known = board.known(request.service).filter { it.id !in request.excludedServers }
        val trial = known.filter { board.localOccupancy(it.id).total == 0 }.randomOrNull(random)
        return if (trial == null || board.eligible(request.service, request.excludedServers).isNotEmpty()) {
            Placement.NoServer(RETURN_MILLIS)
        } else {
            Placement.Send(trial, 0.0)
        }
    }

    /**
     * Callers come back when room is expected, spread over half of that time again, since those that were turned away
     * together would otherwise meet again.
     */
    private fun retryAfterMillis(waitMillis: Double, request: PlacementRequest): Long {
        val spreadMillis = waitMillis * (1 + random.nextDouble() * RETURN_SPREAD)
        val longestMillis = maxOf((request.remainingDeadlineMillis / RETRY_SHARE).toLong(), MIN_RETRY_MILLIS)
        return ceil(spreadMillis).toLong().coerceIn(MIN_RETRY_MILLIS, longestMillis)
    }

    private companion object {
        /** Share of the target that waiting and the first byte may take; the rest is network and scatter. */
        const val TARGET_SHARE = 0.85

        /** Share of the slots of the own failure domain that has to be free for requests to stay there. */
        const val NEAR_FREE_SHARE = 0.15

        /** In units of a full server: a remote server is chosen when it is this much emptier than a local one. */
        const val REMOTE_PENALTY = 0.25

        /** In units of a full server: loads this close count as equal, about one request of eight. */
        const val TIE_SPREAD = 0.12

        /** Times of the average first byte after which a request counts as queued. */
        const val PATIENCE = 1.8

        /** First bytes of free servers scatter by about this much, also where they come soon on average. */
        const val LEAST_SCATTER_MILLIS = 50.0

        /** Assumed until a first answer has come; half of the usual target. */
        const val UNKNOWN_FIRST_BYTE_MILLIS = 150.0

        /** Time until a batch item has given its slot to an online request, also at the word of another node. */
        const val YIELD_MILLIS = 20.0

        /** About the time in which one of eight slots becomes free. */
        const val MIN_RETRY_MILLIS = 100L

        /** A caller that may be told to wait for this long has time to come back and be served. */
        const val RETURN_MILLIS = 1_000L

        /** Share of the expected wait over which the callers' return is spread. */
        const val RETURN_SPREAD = 0.5

        /** Callers wait for at most this part of the time that they have left. */
        const val RETRY_SHARE = 3.0
    }
}
