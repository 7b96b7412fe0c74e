package ragwortbarrow.core.serverlimit

import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.placement.BackendServer
import kotlin.math.ceil

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

    /** Whether the platform's store listed the members to this node, so that it is alone if it knows no other one. */
    var areMembersListed = false
        set(value) {
            if (value != field) ownChangeCount++
            field = value
        }

    /** Grows when other nodes may be chosen. */
    val changeCount: Int get() = members.compositionCount + ownChangeCount

    /** The place of this node for [server]; null if it leaves. */
    internal fun rank(server: BackendServer, requestsPerSecond: Double): HolderRank? =
        if (isLeaving) null else rank(server, (requestsPerSecond * NODES_PER_REQUEST).toInt())

    /**
     * The place of this node for a cold [server], whose limit holds in any one second: each holder sends one request in
     * a second or more. Null also while this node has heard of no other one, since each of many such nodes would
     * believe that it holds the whole limit.
     */
    internal fun coldRank(server: BackendServer, requestsPerSecond: Double): HolderRank? =
        if (isLeaving || !knowsMembers) null else rank(server, ceil(requestsPerSecond).toInt())

    private val knowsMembers: Boolean get() = areMembersListed || members.size > 1

    private fun rank(server: BackendServer, maxHolders: Int): HolderRank {
        val nodes = members.possiblyRunning() + members.self
        val (near, far) = nodes.partition { it.failureDomain == server.failureDomain }
        val ranked = rank(server, near) + rank(server, far)
        return HolderRank(ranked.indexOf(members.self), maxHolders.coerceIn(1, nodes.size))
    }

    private fun rank(server: BackendServer, nodes: List<FleetNode>) =
        RendezvousHash.rank(server.id.value, nodes) { it.vm.value }

    private companion object {
        /** Nodes per request per second; each of them sends one in two seconds. */
        const val NODES_PER_REQUEST = 2
    }
}
