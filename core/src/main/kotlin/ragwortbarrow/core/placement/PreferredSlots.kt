package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.VmId

/**
 * Deals the slots of backend servers to the nodes of a failure domain, so that each node has slots that no other node
 * prefers. A dealt slot is a preference and no reservation: nodes with different lists of members or servers deal
 * differently for a while, and the loads that they report settle the rest.
 *
 * Load pattern: many nodes choose at the same time from loads that are some hundred milliseconds old. If all of them
 * prefer the server that looks emptiest, most requests of such a period meet there.
 */
object PreferredSlots {
    /** The number of slots of each of [servers] that are dealt to [self], one of [nodes]. */
    fun assign(servers: Collection<BackendServer>, nodes: Collection<VmId>, self: VmId): Map<BackendServerId, Int> {
        val place = nodes.map { it.value }.sorted().indexOf(self.value)
        if (place < 0) return emptyMap()
        // Each service begins with another node, so that small ones do not all fall to the first.
        return servers.groupBy { it.service }.toSortedMap().values
            .flatMapIndexed { index, ofService ->
                slots(ofService).filterIndexed { slot, _ -> (slot + index) % nodes.size == place }
            }
            .groupingBy { it.id }.eachCount()
    }

    /** One slot of every server before the second of any, so that the slots of a node are on different servers. */
    private fun slots(servers: List<BackendServer>): List<BackendServer> {
        val ordered = servers.sortedBy { it.id.value }
        return (0 until ordered.maxOf { it.slots }).flatMap { slot -> ordered.filter { slot < it.slots } }
    }
}
