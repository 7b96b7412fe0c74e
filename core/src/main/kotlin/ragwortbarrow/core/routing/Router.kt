package ragwortbarrow.core.routing

import org.apache.commons.codec.digest.MurmurHash3
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.membership.RendezvousHash
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.math.ceil
import kotlin.random.Random

/**
 * The properties of a request that routing depends on. Servers in [excluded] have failed this request and are used only
 * if there is no other. A [queued] request is routed repeatedly, so only the decision that ends its wait is logged.
 */
data class RouteRequest(
    val requestId: RequestId,
    val target: CallTarget,
    val prefix: String = "",
    val excluded: Set<BackendServerId> = emptySet(),
    val queued: Boolean = false,
)

/** Result of routing a request. */
sealed interface RouteDecision {
    /** The request holds a slot on [server]; the caller returns it with [BackendLoads.release]. */
    data class Chosen(val server: BackendServer, val reason: RouteReason) : RouteDecision

    /** All eligible servers are full; [wanted] is the less loaded of two randomly chosen ones. */
    data class AllFull(val wanted: BackendServer) : RouteDecision

    /** Servers for the target exist, but all of them are in backoff after failures. */
    data object AllPaused : RouteDecision

    /** No server for the target accepts new work. */
    data object NoServer : RouteDecision
}

/** Why a server was chosen. */
enum class RouteReason { PREFIX, LOWER_OF_TWO, FREE_SLOT, ENGINE_QUEUE }

/**
 * Chooses backend servers. Decisions read immutable snapshots and atomic counters and perform no I/O.
 *
 * [isLeaving] is true for servers that the VM list marks as leaving, in addition to those in the manifest. [queueAhead]
 * is the number of requests that may wait inside an engine whose slots are all in use: when batch work is cancelled for
 * them, its slot is free at once, but the load report of the engine shows this only later.
 */
class Router(
    private val loads: BackendLoads,
    private val health: ServerHealth,
    private val failureDomain: FailureDomainId,
    private val random: Random = Random.Default,
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    private val isLeaving: (BackendServerId) -> Boolean = { false },
    private val prefixLoadFactor: Double = 1.25,
    private val queueAhead: Int = 1,
) {
    private val table = AtomicReference<TargetTable?>(null)

    /** Chooses a server for [request] and acquires a slot on it. */
    fun choose(snapshot: ConfigurationSnapshot, request: RouteRequest): RouteDecision {
        val servers = targetTableFor(snapshot).serversOf(request.target)
        var candidates = eligible(servers, request.excluded)
        if (candidates.isEmpty() && request.excluded.isNotEmpty()) candidates = eligible(servers, emptySet())
        val decision = when {
            candidates.isNotEmpty() -> chooseAmong(candidates, request)
            servers.local.all(::isMarkedLeaving) && servers.remote.all(::isMarkedLeaving) -> RouteDecision.NoServer
            else -> RouteDecision.AllPaused
        }
        log(request, candidates.size, decision)
        return decision
    }

    private fun eligible(servers: TargetServers, excluded: Set<BackendServerId>): List<BackendServer> {
        val local = servers.local.filter { isEligible(it, excluded) }
        return local.ifEmpty { servers.remote.filter { isEligible(it, excluded) } }
    }

    private fun isEligible(server: BackendServer, excluded: Set<BackendServerId>): Boolean =
        !isMarkedLeaving(server) && server.id !in excluded && health.isAvailable(server.id)

    private fun isMarkedLeaving(server: BackendServer): Boolean = server.leaving || isLeaving(server.id)

    private fun chooseAmong(candidates: List<BackendServer>, request: RouteRequest): RouteDecision =
        preferredByPrefix(candidates, request.prefix)?.let { tryTake(it, it.slots, RouteReason.PREFIX) }
            ?: lowerOfTwo(candidates).let { tryTake(it, it.slots, RouteReason.LOWER_OF_TWO) }
            ?: chooseWithFreeSlot(candidates)

    private fun preferredByPrefix(candidates: List<BackendServer>, prefix: String): BackendServer? {
        if (prefix.isEmpty()) return null
        // Hashing the prefix first keeps the cost per candidate independent of the length of the prefix.
        val key = MurmurHash3.hash128x64(prefix.toByteArray())[0].toString()
        val server = RendezvousHash.choose(key, candidates) { it.id.value } ?: return null
        val mean = candidates.sumOf { loads.estimatedLoad(it.id) }.toDouble() / candidates.size
        // Rounded up: with a mean below one request per server, the exact bound would reject every second request.
        return server.takeIf { loads.estimatedLoad(it.id) <= ceil(prefixLoadFactor * mean) }
    }

    private fun lowerOfTwo(candidates: List<BackendServer>): BackendServer {
        val first = candidates[random.nextInt(candidates.size)]
        if (candidates.size == 1) return first
        val second = candidates[random.nextInt(candidates.size)]
        return if (loads.estimatedLoad(second.id) < loads.estimatedLoad(first.id)) second else first
    }

    /**
     * Chooses the less loaded of two random servers with free slots, or else of those whose engine may queue another
     * request. The least loaded server of all would be the same for every node until the next load report, and would
     * receive a burst from all nodes.
     */
    private fun chooseWithFreeSlot(candidates: List<BackendServer>): RouteDecision {
        tryTakeAny(candidates, 0, RouteReason.FREE_SLOT)?.let { return it }
        val wanted = lowerOfTwo(candidates)
        loads.notifyServerFull(wanted.id)
        return tryTakeAny(candidates, queueAhead, RouteReason.ENGINE_QUEUE) ?: RouteDecision.AllFull(wanted)
    }

    private fun tryTakeAny(candidates: List<BackendServer>, extraRequests: Int, reason: RouteReason): RouteDecision? {
        var rest = candidates.filter { loads.estimatedLoad(it.id) < it.slots + extraRequests }
        while (rest.isNotEmpty()) {
            val server = lowerOfTwo(rest)
            tryTake(server, server.slots + extraRequests, reason)?.let { return it }
            rest = rest - server
        }
        return null
    }

    private fun tryTake(server: BackendServer, limit: Int, reason: RouteReason): RouteDecision? {
        if (!loads.tryAcquire(server.id, limit)) return null
        if (health.tryAcquire(server.id)) return RouteDecision.Chosen(server, reason)
        loads.release(server.id)
        return null
    }

    private fun log(request: RouteRequest, candidateCount: Int, decision: RouteDecision) {
        if (decisionLog === DecisionLog.NONE) return
        if (request.queued && decision !is RouteDecision.Chosen) return
        val chosen = (decision as? RouteDecision.Chosen)?.server?.id
        val reason = when (decision) {
            is RouteDecision.Chosen -> decision.reason.name.lowercase()
            is RouteDecision.AllFull -> "all_full"
            RouteDecision.AllPaused -> "all_paused"
            RouteDecision.NoServer -> "no_server"
        }
        decisionLog.record(
            "route",
            "request_id" to request.requestId,
            "chosen" to (chosen ?: "none"),
            "candidates" to candidateCount,
            "reason" to reason,
        )
    }

    private fun targetTableFor(snapshot: ConfigurationSnapshot): TargetTable {
        table.get()?.takeIf { it.snapshot === snapshot }?.let { return it }
        return TargetTable(snapshot, failureDomain).also { table.set(it) }
    }
}

/** The servers of each target, split into those of the local failure domain and the others. */
private class TargetTable(val snapshot: ConfigurationSnapshot, private val failureDomain: FailureDomainId) {
    private val byTarget = ConcurrentHashMap<CallTarget, TargetServers>()

    fun serversOf(target: CallTarget): TargetServers = byTarget[target] ?: splitByDomain(target).also {
        // Targets without servers are not cached, so that requests with unknown names cannot fill the table.
        if (it.local.isNotEmpty() || it.remote.isNotEmpty()) byTarget[target] = it
    }

    private fun splitByDomain(target: CallTarget): TargetServers {
        val servers = when (target) {
            is CallTarget.ModelTarget -> snapshot.serversByModel[target.model]
            is CallTarget.ServiceTarget -> snapshot.serversByService[target.service]
        }.orEmpty()
        val (local, remote) = servers.partition { it.failureDomain == failureDomain }
        return TargetServers(local, remote)
    }
}

private class TargetServers(val local: List<BackendServer>, val remote: List<BackendServer>)
