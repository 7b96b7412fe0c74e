package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.VmId

/**
 * Assigns the slots of backend servers to the nodes of a failure domain, so that each node has slots that no other node
 * prefers. An assigned slot is a preference, not a reservation: nodes whose lists of members or servers differ compute
 * different assignments for a while, and the loads that they report resolve the conflicts.
 *
 * Without it, many nodes choose at the same time from loads that are some hundred milliseconds old, all prefer the
 * server that looks least loaded, and most requests of such a period go there.
 */
object PreferredSlots {
    /** The number of slots of each of [servers] that are assigned to [self], one of [nodes]. */
    fun assign(servers: Collection<BackendServer>, nodes: Collection<VmId>, self: VmId): Map<BackendServerId, Int> {
        val nodeIndex = nodes.map { it.value }.sorted().indexOf(self.value)
        if (nodeIndex < 0) return emptyMap()
        // Each service starts at a different node, so that the slots of small services do not all go to the first one.
        return servers.groupBy { it.service }.toSortedMap().values
            .flatMapIndexed { serviceIndex, ofService ->
                slots(ofService).filterIndexed { slot, _ -> (slot + serviceIndex) % nodes.size == nodeIndex }
            }
            .groupingBy { it.id }.eachCount()
    }

    /** Lists one slot of each server before the second of any, so that the slots of a node are on different servers. */
    private fun slots(servers: List<BackendServer>): List<BackendServer> {
        val ordered = servers.sortedBy { it.id.value }
        return (0 until ordered.maxOf { it.slots }).flatMap { slot -> ordered.filter { slot < it.slots } }
    }
}
