package ragwortbarrow.core.fleet

import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * This node's view of the members of the fleet. A node that was not heard from for [unreachableAfterMillis] counts as
 * unreachable. It stays a member until [expireAfterMillis], because it may still be running behind a partition, and is
 * known as a former one after that, because the partition may last longer. Reports through a relay are older, so a node
 * that is known through a relay counts as unreachable after [relayedUnreachableAfterMillis].
 */
class FleetMembers(
    val self: FleetNode,
    private val timer: TimerService,
    private val unreachableAfterMillis: Long = 1_200,
    private val relayedUnreachableAfterMillis: Long = 3_000,
    private val expireAfterMillis: Long = 30_000,
    private val failedAfterMillis: Long = 4_000,
    endedAfterMillis: Long = 600_000,
) {
    /** A member that was added without contact counts as reachable at first, until it could have responded. */
    private class Member(
        var node: FleetNode,
        var lastContactMillis: Long,
        var isLeaving: Boolean,
        var hadContact: Boolean,
    ) {
        var isRelayed = false
    }

    private val members = HashMap<VmId, Member>()

    private val formerMembers = FormerMembers(timer, endedAfterMillis)

    /** Size of [possiblyRunning] when it was last checked. */
    private var possiblyRunningCount = 0

    /**
     * Grows when a member is added, becomes reachable again, restarts, leaves or is removed, but not when one becomes
     * unreachable.
     */
    var changeCount = 0
        private set

    /** Grows when [possiblyRunning] changes, but not when members become reachable or unreachable. */
    var compositionCount = 0
        private set

    /** All other members, including unreachable ones. */
    fun others(): List<FleetNode> = members.values.map { it.node }

    /** Other members that are reachable and not leaving. */
    fun reachable(): List<FleetNode> = members.values.filter { isReachable(it) && !it.isLeaving }.map { it.node }

    /** Nodes that expired as members without leaving. */
    fun former(): List<FleetNode> = formerMembers.nodes

    /**
     * Other nodes that may be running and sending requests: members that are not leaving, and nodes that have expired
     * but may be running behind a partition.
     */
    fun possiblyRunning(): List<FleetNode> =
        members.values.filter { !it.isLeaving }.map { it.node } + formerMembers.possiblyRunning

    /** Number of members, including this node and unreachable ones. */
    val size: Int get() = members.size + 1

    /** [size] and the number of expired members that may be running. */
    val sizeWithExpired: Int get() = size + formerMembers.possiblyRunning.size

    /** Number of unreachable members. */
    val unreachableCount: Int get() = members.values.count { !isReachable(it) }

    fun isReachable(vm: VmId): Boolean = members[vm]?.let { isReachable(it) } ?: false

    /** Whether the process of a node with this incarnation may still be running. */
    fun mayRun(vm: VmId, incarnation: Long): Boolean {
        if (vm == self.vm) return incarnation == self.incarnation
        val member = members[vm] ?: return false
        return member.node.incarnation == incarnation && isReachable(member) && !member.isLeaving
    }

    /**
     * Whether another node may take over the work of the process with this incarnation: it has ended or is leaving, or
     * it has been silent for [failedAfterMillis]. A process that is only slow to report, or paused for a moment, keeps
     * its work.
     */
    fun hasFailed(vm: VmId, incarnation: Long): Boolean {
        if (vm == self.vm) return incarnation != self.incarnation
        val member = members[vm] ?: return true
        val silentMillis = timer.monotonicMillis() - member.lastContactMillis
        return member.node.incarnation != incarnation || member.isLeaving || silentMillis > failedAfterMillis
    }

    /** Adds a member that the store or a peer named; returns true if it is new. */
    fun addMember(node: FleetNode): Boolean {
        if (node.vm == self.vm) return false
        val member = members[node.vm]
        if (member != null) {
            if (node.incarnation > member.node.incarnation) {
                member.node = node
                changeCount++
            }
            return false
        }
        insert(Member(node, timer.monotonicMillis(), isLeaving = false, hadContact = false))
        return true
    }

    private fun insert(member: Member) {
        members[member.node.vm] = member
        if (!formerMembers.mayRun(member.node)) compositionCount++
        formerMembers.removeReplaced(member.node)
        changeCount++
    }

    /** Records a message from a member; returns true if the member is new, reachable again, restarted or leaving. */
    fun recordContact(node: FleetNode, isLeaving: Boolean): Boolean {
        if (node.vm == self.vm) return false
        val member = members[node.vm]
        if (member == null) {
            insert(Member(node, timer.monotonicMillis(), isLeaving, hadContact = true))
            return true
        }
        if (node.incarnation < member.node.incarnation) return false
        val isChanged = !isReachable(member) ||
            !member.hadContact ||
            node.incarnation != member.node.incarnation ||
            isLeaving != member.isLeaving
        if (isLeaving != member.isLeaving) compositionCount++
        member.node = node
        member.lastContactMillis = timer.monotonicMillis()
        member.isLeaving = isLeaving
        member.hadContact = true
        member.isRelayed = false
        if (isChanged) changeCount++
        return isChanged
    }

    /** Merges a report from a relay; returns true if the member is new, reachable again, restarted or leaving. */
    fun mergeReport(report: MemberReport): Boolean {
        val node = report.node
        if (node.vm == self.vm) return false
        val reportedMillis = timer.monotonicMillis() - report.ageMillis
        val member = members[node.vm]
        if (member == null) {
            if (report.ageMillis > relayedUnreachableAfterMillis) return false
            insert(Member(node, reportedMillis, report.isLeaving, hadContact = true).also { it.isRelayed = true })
            return true
        }
        if (node.incarnation < member.node.incarnation) return false
        if (member.hadContact && reportedMillis <= member.lastContactMillis) return false
        val wasReachable = isReachable(member) && member.hadContact && node.incarnation == member.node.incarnation
        val startedLeaving = report.isLeaving && !member.isLeaving
        if (report.isLeaving != member.isLeaving) compositionCount++
        member.node = node
        member.lastContactMillis = reportedMillis
        member.isLeaving = report.isLeaving
        member.hadContact = true
        member.isRelayed = true
        val isChanged = startedLeaving || (!wasReachable && isReachable(member))
        if (isChanged) changeCount++
        return isChanged
    }

    /** This node's knowledge of the other members, for the nodes that it relays. */
    fun reports(): List<MemberReport> {
        val nowMillis = timer.monotonicMillis()
        return members.values.map { MemberReport(it.node, nowMillis - it.lastContactMillis, it.isLeaving) }
    }

    /** Removes and returns the members that were not heard from for [expireAfterMillis]. */
    fun removeExpired(): List<FleetNode> {
        val nowMillis = timer.monotonicMillis()
        val expired = members.values.filter { nowMillis - it.lastContactMillis > expireAfterMillis }
        expired.forEach { remove(it) }
        if (expired.isNotEmpty()) changeCount++
        val runningCount = possiblyRunning().size
        if (runningCount < possiblyRunningCount) compositionCount++
        possiblyRunningCount = runningCount
        return expired.map { it.node }
    }

    private fun remove(member: Member) {
        members.remove(member.node.vm)
        if (!member.isLeaving) formerMembers.add(member.node, member.lastContactMillis.takeIf { member.hadContact })
    }

    private fun isReachable(member: Member) = timer.monotonicMillis() - member.lastContactMillis <=
        if (member.isRelayed) relayedUnreachableAfterMillis else unreachableAfterMillis
}
