package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.time.MILLIS_PER_SECOND
import ragwortbarrow.core.time.TimerService
import kotlin.math.ceil
import kotlin.random.Random

/** The result of placing a request: the server to send it to, or the reason why there is none. */
sealed interface Placement {
    /** Send the request to [server], where it is expected to queue for [waitMillis]. */
    data class Send(val server: BackendServer, val waitMillis: Double) : Placement

    /** No server of the service is available. */
    data class NoServer(val retryAfterMillis: Long) : Placement

    /** Every server is so full that the response would miss its latency target. */
    data class Full(val waitMillis: Double, val retryAfterMillis: Long) : Placement
}

/** The inputs of one placement. */
data class PlacementRequest(
    val service: String,
    /** Time left until the latency target, after which the response loses value. */
    val remainingTargetMillis: Double,
    /** Time left until the caller gives up. */
    val remainingDeadlineMillis: Long,
    val excludedServers: Set<BackendServerId> = emptySet(),
    /** False if part of the request may already have run, since it could no longer be rejected as not run. */
    val isRefusable: Boolean = true,
)

/**
 * Chooses the backend server for an online request, or rejects the request.
 *
 * Arrivals jump to five times their rate within a second and stay there for some seconds. Backend servers serve
 * requests in order of arrival, so a request sent to a full server delays all later ones. A request whose first byte
 * would miss its latency target has little value for its caller, and makes the next ones late too. Such a request is
 * rejected immediately, while its caller still has time to retry.
 *
 * Several nodes choose at the same time from loads that are some hundred milliseconds old. Each node therefore first
 * uses slots that no other node prefers ([preferredSlots]), then a random slot that is expected to be free, and only if
 * there is none the least loaded server. Servers that are slower than others of their service get less
 * ([ServerSpeeds]).
 */
class OnlinePlacement(
    private val tracker: ServerTracker,
    private val latencies: LatencyEstimates,
    private val localDomain: FailureDomainId,
    timer: TimerService,
    private val random: Random = Random.Default,
) {
    private val forecast = OccupancyForecast(tracker, latencies)
    private val returnQueue = ReturnQueue(timer, random)

    /** The slots by server that [PreferredSlots] assigned to this node; null if there are no other nodes. */
    var preferredSlots: Map<BackendServerId, Int>? = null

    fun place(request: PlacementRequest): Placement {
        val candidates = tracker.eligible(request.service, request.excludedServers)
        if (candidates.isEmpty()) return fallback(request)
        val best = choose(inTime(candidates, request))
        val waitMillis = waitMillis(best)
        val expectedMillis = waitMillis + firstByteMillis(best)
        val missesTarget = expectedMillis > request.remainingTargetMillis * TARGET_SHARE
        val missesDeadline = expectedMillis > request.remainingDeadlineMillis
        // A caller with little time left usually can't retry, so a late response is better for it than none.
        val canRetry = request.remainingDeadlineMillis / RETRY_DIVISOR >= DEFAULT_RETRY_MILLIS
        return when {
            request.isRefusable && (missesDeadline || (missesTarget && canRetry && waitMillis > 0)) ->
                Placement.Full(waitMillis, retryAfterMillis(waitMillis, request))
            !tracker.tryAcquire(best.id) -> fallback(request.copy(excludedServers = request.excludedServers + best.id))
            else -> Placement.Send(best, waitMillis)
        }
    }

    /**
     * How long a repeatable request waits for its first byte at [server], where it is expected to queue for
     * [waitMillis].
     *
     * Several nodes may have chosen the same server from outdated loads, or the server may be stuck. A request that has
     * no first byte after a time in which nearly all others have one is probably queued, and another server can still
     * respond before the target.
     */
    fun firstByteTimeoutMillis(server: BackendServer, waitMillis: Double): Long {
        val averageMillis = latencies.firstByteMillis(server.service).takeIf { it > 0 } ?: DEFAULT_FIRST_BYTE_MILLIS
        val firstByteMillis = averageMillis * tracker.speeds.slowness(server.id).coerceAtLeast(1.0)
        return (waitMillis + maxOf(firstByteMillis * TIMEOUT_FACTOR, firstByteMillis + MIN_SPREAD_MILLIS)).toLong()
    }

    /** Whether a server outside [PlacementRequest.excludedServers] has a free slot and can still meet the target. */
    fun hasFreeAlternative(request: PlacementRequest): Boolean =
        tracker.eligible(request.service, request.excludedServers)
            .any { tracker.occupancy(it.id).total < it.slots && firstByteMillis(it) <= request.remainingTargetMillis }

    /** The expected time to first byte of a request that does not queue at [server]. */
    fun firstByteMillis(server: BackendServer): Double =
        latencies.firstByteMillis(server.service) * tracker.speeds.slowness(server.id)

    /**
     * The servers that are fast enough for the target of [request]. A few requests go to the others too, or nobody
     * would notice when they recover.
     */
    private fun inTime(candidates: List<BackendServer>, request: PlacementRequest): List<BackendServer> {
        val limitMillis = request.remainingTargetMillis * TARGET_SHARE
        val fast = candidates.filter { tracker.speeds.slowness(it.id) <= 1 || firstByteMillis(it) <= limitMillis }
        val isDivided = fast.size < candidates.size && fast.isNotEmpty()
        return if (isDivided && random.nextDouble() >= EXPLORATION_SHARE) fast else candidates
    }

    private fun choose(candidates: List<BackendServer>): BackendServer {
        // What servers with a limit take is saved up for a jump in load.
        val spare = candidates.filter { tracker.hasSparePermit(it) }
        return withFreeSlot(spare)
            ?: (if (spare.size < candidates.size) withFreeSlot(candidates) else null)
            ?: candidates.minBy { score(it) }
    }

    private fun withFreeSlot(candidates: List<BackendServer>): BackendServer? = preferredSlots?.let { preferred ->
        preferredServer(candidates, preferred)
            ?: randomServer(candidates, countsBatchItems = true)
            // Batch items make room for online requests, but that takes a moment and interrupts their run.
            ?: randomServer(candidates, countsBatchItems = false)
    }

    /** The best server with a free slot where this node uses fewer slots than it is assigned. */
    private fun preferredServer(
        candidates: List<BackendServer>,
        preferred: Map<BackendServerId, Int>,
    ): BackendServer? = candidates
        .filter {
            val unused = (preferred[it.id] ?: 0) - tracker.localOccupancy(it.id).online
            unused > 0 && tracker.occupancy(it.id).total < forecast.usableSlots(it)
        }
        .minByOrNull { score(it) }

    /**
     * A random server, weighted by expected free slots and speed. Servers of other failure domains are considered only
     * if few slots of the local one are free.
     */
    private fun randomServer(candidates: List<BackendServer>, countsBatchItems: Boolean): BackendServer? {
        val local = candidates.filter { it.failureDomain == localDomain }
        return drawServer(local, minFreeShare = LOCAL_MIN_FREE_SHARE, countsBatchItems)
            ?: drawServer(candidates, minFreeShare = 0.0, countsBatchItems)
    }

    private fun drawServer(
        from: List<BackendServer>,
        minFreeShare: Double,
        countsBatchItems: Boolean,
    ): BackendServer? {
        val freeSlots = forecast.freeSlots(from, countsBatchItems)
        val total = freeSlots.sum()
        if (total == 0.0 || total < from.sumOf { it.slots } * minFreeShare) return null
        val weights = from.mapIndexed { index, server -> freeSlots[index] / tracker.speeds.slowness(server.id) }
        var remaining = random.nextDouble(weights.sum())
        val index = weights.indexOfFirst { weight -> (remaining < weight).also { remaining -= weight } }
        return from[if (index >= 0) index else weights.indexOfLast { it > 0 }]
    }

    /** The expected queueing time of a new request at [server]. */
    fun waitMillis(server: BackendServer): Double {
        val occupancy = tracker.occupancy(server.id)
        return when {
            occupancy.total < server.slots -> 0.0
            occupancy.online < server.slots -> PREEMPTION_MILLIS
            else -> departureMillis(server, occupancy.online - server.slots + 1)
        }
    }

    /**
     * The time until [count] of the online requests at [server] will have ended. The ages of this node's own requests
     * are known: after a jump in load most are young, so the first slot becomes free much later than on average. Those
     * of other nodes are assumed to be spread evenly over the duration of a request.
     */
    private fun departureMillis(server: BackendServer, count: Int): Double {
        val durationMillis = latencies.durationMillis(server.service) * tracker.speeds.slowness(server.id)
        val local = tracker.localOnlineAgesMillis(server.id).map { (durationMillis - it).coerceAtLeast(0.0) }
        val remote = tracker.occupancy(server.id).online - local.size
        val assumed = (1..remote).map { durationMillis * it / (remote + 1) }
        return (local + assumed).sorted()[count - 1]
    }

    /** The load of [server] with one more request, in terms of an average server; lower is better. */
    private fun score(server: BackendServer): Double {
        val load = (tracker.occupancy(server.id).total + 1.0) / server.slots * tracker.speeds.slowness(server.id)
        val remotePenalty = if (server.failureDomain == localDomain) 0.0 else REMOTE_PENALTY
        return load + remotePenalty + random.nextDouble() * TIE_SPREAD
    }

    /**
     * If every server is paused after failures, one is still tried, because the pauses may outlast the cause, unless
     * the servers limit their requests.
     */
    private fun fallback(request: PlacementRequest): Placement {
        val candidates = tracker.nonDraining(request.service).filter { it.id !in request.excludedServers }
        val (permitted, limited) = candidates.partition { tracker.permitWaitMillis(it) == 0.0 }
        val soundLimited = tracker.limited(request.service, request.excludedServers)
        val trial = permitted.filter { tracker.localOccupancy(it.id).total == 0 }.randomOrNull(random)
        return when {
            tracker.eligible(request.service, request.excludedServers).isNotEmpty() ->
                Placement.NoServer(DEFAULT_RETRY_MILLIS)
            soundLimited.isNotEmpty() -> limitedByServers(soundLimited, request)
            trial != null -> Placement.Send(trial, 0.0)
            limited.isNotEmpty() -> limitedByServers(limited, request)
            else -> Placement.NoServer(DEFAULT_RETRY_MILLIS)
        }
    }

    /** The servers that are left take no request of this node now; their next permits tell when to retry. */
    private fun limitedByServers(limited: List<BackendServer>, request: PlacementRequest): Placement {
        val waitMillis = limited.mapNotNull { tracker.permitWaitMillis(it) }.minOrNull()
            ?: DEFAULT_RETRY_MILLIS.toDouble()
        // A request that is not rejected is placed again and again until a server takes it.
        if (!request.isRefusable) return Placement.Full(waitMillis, retryAfterMillis(waitMillis, request))
        val returnMillis = returnQueue.enter(
            request.service,
            permitWaitMillis = waitMillis.coerceAtLeast(MIN_RETRY_MILLIS.toDouble()),
            intervalMillis = MILLIS_PER_SECOND / limited.sumOf { tracker.permitsPerSecond(it) },
            maxWaitMillis = maxRetryMillis(request).toDouble(),
        )
        return Placement.Full(waitMillis, ceil(returnMillis).toLong().coerceAtLeast(MIN_RETRY_MILLIS))
    }

    /**
     * The time after which a slot is expected to be free, plus a random extra of up to [RETRY_SPREAD] of it, because
     * callers that are rejected together would otherwise retry together.
     */
    private fun retryAfterMillis(waitMillis: Double, request: PlacementRequest): Long {
        val spreadMillis = waitMillis * (1 + random.nextDouble() * RETRY_SPREAD)
        return ceil(spreadMillis).toLong().coerceIn(MIN_RETRY_MILLIS, maxRetryMillis(request))
    }

    /** The longest time that the caller of [request] waits before it comes back. */
    private fun maxRetryMillis(request: PlacementRequest): Long =
        maxOf((request.remainingDeadlineMillis / RETRY_DIVISOR).toLong(), MIN_RETRY_MILLIS)

    private companion object {
        /** Share of the requests that may go to servers that are too slow for their target. */
        const val EXPLORATION_SHARE = 0.01

        /** Share of the target available for queueing and the first byte; the rest covers network and variance. */
        const val TARGET_SHARE = 0.85

        /** Share of the slots of the local failure domain that has to be free for requests to stay there. */
        const val LOCAL_MIN_FREE_SHARE = 0.15

        /** As a fraction of a full server: a remote server is chosen when its load is lower by at least this much. */
        const val REMOTE_PENALTY = 0.25

        /** As a fraction of a full server: loads this close count as equal; about one request in eight. */
        const val TIE_SPREAD = 0.12

        /** Multiple of the average time to first byte after which a request counts as queued. */
        const val TIMEOUT_FACTOR = 1.8

        /** Times to first byte of servers with a free slot vary by about this much, even if the average is short. */
        const val MIN_SPREAD_MILLIS = 50.0

        /** Used until the first response has arrived; half of the usual target. */
        const val DEFAULT_FIRST_BYTE_MILLIS = 150.0

        /** Time until a batch item has released its slot to an online request, even if another node preempts it. */
        const val PREEMPTION_MILLIS = 20.0

        /** About the time in which one of eight slots becomes free. */
        const val MIN_RETRY_MILLIS = 100L

        /** A caller that can be told to wait this long has time to retry and be served. */
        const val DEFAULT_RETRY_MILLIS = 1_000L

        /** Share of the expected wait over which retries are spread. */
        const val RETRY_SPREAD = 0.5

        /** Callers are told to wait for at most their remaining time divided by this. */
        const val RETRY_DIVISOR = 3.0
    }
}
