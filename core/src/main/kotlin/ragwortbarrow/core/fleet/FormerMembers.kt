package ragwortbarrow.core.fleet

import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Nodes that expired as members of the fleet without leaving, up to [MAX_NODES] of them. They may have ended, or run
 * behind a partition; a node without contact for [endedAfterMillis] counts as ended. One that never had contact
 * counts as ended immediately: the platform's store also lists nodes that ended long ago.
 */
internal class FormerMembers(private val timer: TimerService, private val endedAfterMillis: Long) {
    private class FormerMember(val node: FleetNode, val lastContactMillis: Long?)

    /** By address, in the order in which they expired. */
    private val members = LinkedHashMap<String, FormerMember>()

    val nodes: List<FleetNode> get() = members.values.map { it.node }

    /** Those that do not count as ended. */
    val possiblyRunning: List<FleetNode> get() = members.values.filter { mayRun(it) }.map { it.node }

    private fun mayRun(member: FormerMember) =
        member.lastContactMillis?.let { timer.monotonicMillis() - it <= endedAfterMillis } ?: false

    /** Adds [node], whose last contact was at [lastContactMillis]; null if it never had contact. */
    fun add(node: FleetNode, lastContactMillis: Long?) {
        members[node.address] = FormerMember(node, lastContactMillis)
        if (members.size > MAX_NODES) members.remove(members.keys.first())
    }

    /** Whether [node] is known and does not count as ended. */
    fun mayRun(node: FleetNode): Boolean = members.values.any { it.node.vm == node.vm && mayRun(it) }

    /** Removes what [node] replaces: it may have returned at another address, or have the address of another node. */
    fun removeReplaced(node: FleetNode) {
        members.values.removeIf { it.node.vm == node.vm || it.node.address == node.address }
    }

    private companion object {
        /** As many as the largest fleet has members. */
        const val MAX_NODES = 400
    }
}
