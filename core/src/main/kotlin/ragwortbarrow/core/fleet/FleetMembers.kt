package ragwortbarrow.core.fleet

import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * The nodes of the fleet as this one knows them. A node that is silent for [silentMillis] counts as unreachable; it
 * stays a member, since it may be alive behind a partition, until it has been silent for [forgetMillis]. Word of a node
 * that comes through a relay is older, so such a node counts as silent after [relayedSilentMillis].
 */
class FleetMembers(
    val self: FleetNode,
    private val timer: TimerService,
    private val silentMillis: Long = 1_200,
    private val relayedSilentMillis: Long = 3_000,
    private val forgetMillis: Long = 30_000,
) {
    /** A member that was only named counts as heard for its first moments, until it could have answered. */
    private class Known(var node: FleetNode, var heardMillis: Long, var isLeaving: Boolean, var wasHeard: Boolean) {
        var isRelayed = false
    }

    private val known = HashMap<VmId, Known>()

    /** Grows whenever a member is added, comes back, restarts, leaves or is dropped; not when one falls silent. */
    var changes = 0
        private set

    /** Other nodes that may be alive. */
    fun others(): List<FleetNode> = known.values.map { it.node }

    /** Other nodes that were heard of lately and are not leaving. */
    fun reachable(): List<FleetNode> = known.values.filter { isHeard(it) && !it.isLeaving }.map { it.node }

    /** Members that may be alive, this node included. */
    val size: Int get() = known.size + 1

    /** Members that have not been heard of lately. */
    val unreachableCount: Int get() = known.values.count { !isHeard(it) }

    fun isReachable(vm: VmId): Boolean = known[vm]?.let { isHeard(it) } ?: false

    /** Whether the given start of a node may still be running. */
    fun mayRun(vm: VmId, incarnation: Long): Boolean {
        if (vm == self.vm) return incarnation == self.incarnation
        val seen = known[vm] ?: return false
        return seen.node.incarnation == incarnation && isHeard(seen) && !seen.isLeaving
    }

    /** A member was named by the store or by a peer; returns true if it is new. */
    fun addMember(node: FleetNode): Boolean {
        if (node.vm == self.vm) return false
        val seen = known[node.vm]
        if (seen != null) {
            if (node.incarnation > seen.node.incarnation) {
                seen.node = node
                changes++
            }
            return false
        }
        known[node.vm] = Known(node, timer.monotonicMillis(), isLeaving = false, wasHeard = false)
        changes++
        return true
    }

    /** A member spoke; returns true if it is new, leaves, or came back after a silence or a restart. */
    fun recordContact(node: FleetNode, isLeaving: Boolean): Boolean {
        if (node.vm == self.vm) return false
        val seen = known[node.vm]
        if (seen == null) {
            known[node.vm] = Known(node, timer.monotonicMillis(), isLeaving, wasHeard = true)
            changes++
            return true
        }
        if (node.incarnation < seen.node.incarnation) return false
        val isNews = !isHeard(seen) ||
            !seen.wasHeard ||
            node.incarnation != seen.node.incarnation ||
            isLeaving != seen.isLeaving
        seen.node = node
        seen.heardMillis = timer.monotonicMillis()
        seen.isLeaving = isLeaving
        seen.wasHeard = true
        seen.isRelayed = false
        if (isNews) changes++
        return isNews
    }

    /** A relay passed on word of a member; returns true if the member is new, came back, restarted or leaves. */
    fun mergeReport(report: MemberReport): Boolean {
        val node = report.node
        if (node.vm == self.vm) return false
        val saidMillis = timer.monotonicMillis() - report.ageMillis
        val seen = known[node.vm]
        if (seen == null) {
            if (report.ageMillis > relayedSilentMillis) return false
            known[node.vm] = Known(node, saidMillis, report.isLeaving, wasHeard = true).also { it.isRelayed = true }
            changes++
            return true
        }
        if (node.incarnation < seen.node.incarnation) return false
        if (seen.wasHeard && saidMillis <= seen.heardMillis) return false
        val wasReachable = isHeard(seen) && seen.wasHeard && node.incarnation == seen.node.incarnation
        val leavesNow = report.isLeaving && !seen.isLeaving
        seen.node = node
        seen.heardMillis = saidMillis
        seen.isLeaving = report.isLeaving
        seen.wasHeard = true
        seen.isRelayed = true
        val isNews = leavesNow || (!wasReachable && isHeard(seen))
        if (isNews) changes++
        return isNews
    }

    /** What this node knows of the other members, for the nodes that it relays. */
    fun reports(): List<MemberReport> {
        val nowMillis = timer.monotonicMillis()
        return known.values.map { MemberReport(it.node, nowMillis - it.heardMillis, it.isLeaving) }
    }

    /** Drops members that have been silent for long; returns them. */
    fun removeExpired(): List<FleetNode> {
        val nowMillis = timer.monotonicMillis()
        val lost = known.values.filter { nowMillis - it.heardMillis > forgetMillis }.map { it.node }
        lost.forEach { known.remove(it.vm) }
        if (lost.isNotEmpty()) changes++
        return lost
    }

    private fun isHeard(member: Known) = timer.monotonicMillis() - member.heardMillis <=
        if (member.isRelayed) relayedSilentMillis else silentMillis
}
