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
 * What a routing decision needs to know of a request. Servers in [excluded] failed it before and are used only if there
 * is no other. A [queued] request is asked for repeatedly, so only the decision that ends its wait is logged.
 */
data class RouteRequest(
    val requestId: RequestId,
    val target: CallTarget,
    val prefix: String = "",
    val excluded: Set<BackendServerId> = emptySet(),
    val queued: Boolean = false,
)

/** Where a request goes. */
sealed interface RouteDecision {
    /** The request is counted on [server]; the caller gives the slot back with [BackendLoads.release]. */
    data class Chosen(val server: BackendServer, val reason: RouteReason) : RouteDecision

    /** Every eligible server is full; [wanted] has the lowest estimated load. */
    data class AllFull(val wanted: BackendServer) : RouteDecision

    /** Servers for the target exist, but all of them are skipped after failures. */
    data object AllPaused : RouteDecision

    /** No server for the target may get new work. */
    data object NoServer : RouteDecision
}

/** Why a server was chosen. */
enum class RouteReason { PREFIX, LOWER_OF_TWO, FREE_SLOT, ENGINE_QUEUE }

/**
 * Chooses a backend server. Decisions read immutable snapshots and atomic counters, and perform no I/O.
 *
 * [isLeaving] tells of servers that the VM list shows as leaving, in addition to the manifest. [queueAhead] is how many
 * requests may wait inside an engine whose slots are taken: batch work that is cancelled for them frees a slot at once,
 * while the engine's load report shows it only later.
 */
class Router(
    private val loads: BackendLoads,
    private val health: ServerHealth,
    private val failureDomain: FailureDomainId,
    private val random: Random = Random.Default,
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    private val isLeaving: (BackendServerId) -> Boolean = { false },
    private val loadBound: Double = 1.25,
    private val queueAhead: Int = 1,
) {
    private val table = AtomicReference<RoutingTable?>(null)

    /** Chooses a server for [request] and takes a slot on it. */
    fun choose(snapshot: ConfigurationSnapshot, request: RouteRequest): RouteDecision {
        val servers = tableOf(snapshot).serversOf(request.target)
        var candidates = eligible(servers, request.excluded)
        if (candidates.isEmpty() && request.excluded.isNotEmpty()) candidates = eligible(servers, emptySet())
        val decision = when {
            candidates.isNotEmpty() -> chooseAmong(candidates, request)
            servers.own.all(::leaves) && servers.others.all(::leaves) -> RouteDecision.NoServer
            else -> RouteDecision.AllPaused
        }
        log(request, candidates.size, decision)
        return decision
    }

    private fun eligible(servers: TargetServers, excluded: Set<BackendServerId>): List<BackendServer> {
        val own = servers.own.filter { isEligible(it, excluded) }
        return own.ifEmpty { servers.others.filter { isEligible(it, excluded) } }
    }

    private fun isEligible(server: BackendServer, excluded: Set<BackendServerId>): Boolean =
        !leaves(server) && server.id !in excluded && health.isAvailable(server.id)

    private fun leaves(server: BackendServer): Boolean = server.leaving || isLeaving(server.id)

    private fun chooseAmong(candidates: List<BackendServer>, request: RouteRequest): RouteDecision =
        preferred(candidates, request.prefix)?.let { take(it, it.slots, RouteReason.PREFIX) }
            ?: lowerOfTwo(candidates).let { take(it, it.slots, RouteReason.LOWER_OF_TWO) }
            ?: amongFree(candidates)

    private fun preferred(candidates: List<BackendServer>, prefix: String): BackendServer? {
        if (prefix.isEmpty()) return null
        // The digest keeps the cost for each candidate independent of the length of the prefix.
        val key = MurmurHash3.hash128x64(prefix.toByteArray())[0].toString()
        val server = RendezvousHash.choose(key, candidates) { it.id.value } ?: return null
        val mean = candidates.sumOf { loads.estimate(it.id) }.toDouble() / candidates.size
        // Rounded up, because below one request per server the plain bound would reject every second request.
        return server.takeIf { loads.estimate(it.id) <= ceil(loadBound * mean) }
    }

    private fun lowerOfTwo(candidates: List<BackendServer>): BackendServer {
        val first = candidates[random.nextInt(candidates.size)]
        if (candidates.size == 1) return first
        val second = candidates[random.nextInt(candidates.size)]
        return if (loads.estimate(second.id) < loads.estimate(first.id)) second else first
    }

    /**
     * Two choices among the servers with free slots, or else among those with room to wait. The least loaded server of
     * all would be the same one for every node until the next report, and attract a burst from all of them.
     */
    private fun amongFree(candidates: List<BackendServer>): RouteDecision {
        takeWithin(candidates, 0, RouteReason.FREE_SLOT)?.let { return it }
        val wanted = lowerOfTwo(candidates)
        loads.reportFull(wanted.id)
        return takeWithin(candidates, queueAhead, RouteReason.ENGINE_QUEUE) ?: RouteDecision.AllFull(wanted)
    }

    private fun takeWithin(candidates: List<BackendServer>, extra: Int, reason: RouteReason): RouteDecision? {
        var rest = candidates.filter { loads.estimate(it.id) < it.slots + extra }
        while (rest.isNotEmpty()) {
            val server = lowerOfTwo(rest)
            take(server, server.slots + extra, reason)?.let { return it }
            rest = rest - server
        }
        return null
    }

    private fun take(server: BackendServer, limit: Int, reason: RouteReason): RouteDecision? {
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

    private fun tableOf(snapshot: ConfigurationSnapshot): RoutingTable {
        table.get()?.takeIf { it.snapshot === snapshot }?.let { return it }
        return RoutingTable(snapshot, failureDomain).also { table.set(it) }
    }
}

/** The servers of each target, divided into those of the own failure domain and the others. */
private class RoutingTable(val snapshot: ConfigurationSnapshot, private val failureDomain: FailureDomainId) {
    private val byTarget = ConcurrentHashMap<CallTarget, TargetServers>()

    fun serversOf(target: CallTarget): TargetServers = byTarget[target] ?: divide(target).also {
        // A target without servers is not kept, so that unknown names cannot fill the table.
        if (it.own.isNotEmpty() || it.others.isNotEmpty()) byTarget[target] = it
    }

    private fun divide(target: CallTarget): TargetServers {
        val servers = when (target) {
            is CallTarget.ModelTarget -> snapshot.serversByModel[target.model]
            is CallTarget.ServiceTarget -> snapshot.serversByService[target.service]
        }.orEmpty()
        val (own, others) = servers.partition { it.failureDomain == failureDomain }
        return TargetServers(own, others)
    }
}

private class TargetServers(val own: List<BackendServer>, val others: List<BackendServer>)
