package ragwortbarrow.core.serverlimit

import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.placement.BackendServer

/**
 * Chooses the nodes that send requests to a backend server with a limit: about one for each request per second, those
 * of the server's failure domain first. With more nodes, each could send less than one request in the time in which
 * the limit is kept, and the sum of their first requests would exceed it.
 *
 * All members count, unreachable ones too: they may run behind a partition and send what they held before.
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
    val changeCount: Int get() = members.changeCount + ownChangeCount

    /** The number of nodes that share the limit of [server]; 0 if this node is none of them. */
    fun count(server: BackendServer, requestsPerSecond: Double): Int {
        if (isLeaving) return 0
        val nodes = members.notLeaving() + members.self
        val (near, far) = nodes.partition { it.failureDomain == server.failureDomain }
        val ranked = rank(server, near) + rank(server, far)
        val holders = ranked.take(requestsPerSecond.toInt().coerceIn(1, nodes.size))
        return if (members.self in holders) holders.size else 0
    }

    private fun rank(server: BackendServer, nodes: List<FleetNode>) =
        RendezvousHash.rank(server.id.value, nodes) { it.vm.value }
}
