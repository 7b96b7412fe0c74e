package ragwortbarrow.core.serverlimit

import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.placement.BackendServer

/**
 * Chooses the nodes that send requests to a backend server with a limit: two for each request per second, those of the
 * server's failure domain first. Each may send a request after an idle time, so the sum over more nodes would exceed
 * the limit.
 *
 * All members count, unreachable and expired ones too: they may run behind a partition and send what they held before.
 */
class LimitHolders(private val members: FleetMembers) {
    /** True once this node leaves; it gives up all its shares. */
    var isLeaving = false
        set(value) {
            if (value != field) ownChangeCount++
            field = value
        }
    private var ownChangeCount = 0

    /** Grows when other nodes may be chosen. */
    val changeCount: Int get() = members.compositionCount + ownChangeCount

    /** The place of this node for [server]; null if it leaves. */
    internal fun rank(server: BackendServer, requestsPerSecond: Double): HolderRank? {
        if (isLeaving) return null
        val nodes = members.possiblyRunning() + members.self
        val (near, far) = nodes.partition { it.failureDomain == server.failureDomain }
        val ranked = rank(server, near) + rank(server, far)
        val holders = (requestsPerSecond * NODES_PER_REQUEST).toInt().coerceIn(1, nodes.size)
        return HolderRank(ranked.indexOf(members.self), holders)
    }

    private fun rank(server: BackendServer, nodes: List<FleetNode>) =
        RendezvousHash.rank(server.id.value, nodes) { it.vm.value }

    private companion object {
        /** Nodes per request per second; each of them sends one in two seconds. */
        const val NODES_PER_REQUEST = 2
    }
}
