package ragwortbarrow.core.fleet

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Decides with which nodes a node exchanges states. In each failure domain the [RELAYS] nodes with the most processor
 * time are relays; all relays exchange with each other, and each other node with one relay of its failure domain, which
 * passes on sums. The messages of a node therefore grow with the number of failure domains and not with the fleet.
 *
 * A relay stands before the nodes that it relays in one fixed order, so relays never relay each other in a circle,
 * whatever the nodes believe of each other's state.
 */
class RelayPlan(private val members: FleetMembers, private val timer: TimerService) {
    private val avoidUntilMillis = HashMap<VmId, Long>()
    private val failures = HashMap<VmId, Int>()
    private val relaysOf = HashMap<FailureDomainId, List<FleetNode>>()
    private var ranked: List<FleetNode>? = null
    private var ownRank: Int? = null
    private var nextLost = 0
    private var plannedChanges = -1
    private var plannedMillis = 0L

    val isRelay: Boolean get() = members.self in relays(members.self.failureDomain)

    /**
     * The relays of [failureDomain]: reachable nodes first, and silent ones where too few are reachable, so that
     * somebody goes on calling them.
     */
    fun relays(failureDomain: FailureDomainId): List<FleetNode> {
        forgetOldPlan()
        return relaysOf.getOrPut(failureDomain) { chooseRelays(failureDomain) }
    }

    /** Nodes fall silent as time passes, so a plan counts for one period of exchange at most. */
    private fun forgetOldPlan() {
        val nowMillis = timer.monotonicMillis()
        if (members.changes == plannedChanges && nowMillis - plannedMillis < PLAN_MILLIS) return
        plannedChanges = members.changes
        plannedMillis = nowMillis
        relaysOf.clear()
        ranked = null
        ownRank = null
    }

    private fun chooseRelays(failureDomain: FailureDomainId): List<FleetNode> {
        val reachable = members.reachable().filter { it.failureDomain == failureDomain }
        val own = listOf(members.self).filter { it.failureDomain == failureDomain }
        val first = (reachable + own).sortedWith(ORDER).take(RELAYS)
        if (first.size == RELAYS) return first
        val silent = members.others().filter { it.failureDomain == failureDomain && it !in reachable }
        return first + silent.sortedWith(ORDER).take(RELAYS - first.size)
    }

    /** The relay of this node; null if it is a relay itself. */
    fun ownRelay(): FleetNode? {
        val relays = relays(members.self.failureDomain)
        if (members.self in relays) return null
        val order = ranked
            ?: RendezvousHash.rank(members.self.vm.value, relays) { it.vm.value }.also { ranked = it }
        val nowMillis = timer.monotonicMillis()
        return order.firstOrNull { (avoidUntilMillis[it.vm] ?: 0) <= nowMillis } ?: order.firstOrNull()
    }

    /** The nodes with which this one exchanges states in each period. */
    fun exchangePeers(): List<FleetNode> {
        ownRelay()?.let { return listOf(it) }
        val domains = members.others().mapTo(HashSet()) { it.failureDomain } + members.self.failureDomain
        return domains.flatMap { relays(it) }.filter { it.vm != members.self.vm }
    }

    /**
     * A silent member to call, another one each time, those first that would be relays. Without these calls parts of a
     * fleet that lost each other, each with enough relays of its own, would never meet again.
     */
    fun nextUnreachable(): FleetNode? {
        val silent = members.others().filter { !members.isReachable(it.vm) }.sortedWith(ORDER)
        if (silent.isEmpty()) {
            nextLost = 0
            return null
        }
        return silent[nextLost++ % silent.size]
    }

    /**
     * Whether this node watches the platform. The nodes that come next in the order watch it as well while the platform
     * does not answer the relay of this node.
     */
    fun isWatcher(isPlatformAnsweringHome: Boolean): Boolean {
        forgetOldPlan()
        val rank = ownRank ?: rankInDomain().also { ownRank = it }
        return rank < RELAYS || (!isPlatformAnsweringHome && rank < RELAYS * 2)
    }

    private fun rankInDomain(): Int {
        val own = members.self.failureDomain
        val inDomain = members.reachable().filter { it.failureDomain == own } + members.self
        return inDomain.sortedWith(ORDER).indexOf(members.self)
    }

    /** The reachable node that does what one node of the fleet has to do. */
    fun isCoordinator(): Boolean = (members.reachable() + members.self).minWith(ORDER) == members.self

    fun recordSuccess(vm: VmId) {
        failures.remove(vm)
        avoidUntilMillis.remove(vm)
    }

    /** A call to [vm] failed; after [FAILURES] in a row another relay is taken for a while. */
    fun recordFailure(vm: VmId) {
        val count = (failures[vm] ?: 0) + 1
        failures[vm] = count
        if (count >= FAILURES) avoidUntilMillis[vm] = timer.monotonicMillis() + AVOID_MILLIS
    }

    companion object {
        /** Relays of a failure domain: one may be lost and one be slow. Small domains have no more nodes than this. */
        const val RELAYS = 3

        private const val FAILURES = 2

        /** One period of exchange between nodes. */
        private const val PLAN_MILLIS = 100L

        /** Until then the relay counts as silent, or is well again. */
        private const val AVOID_MILLIS = 2_000L

        private val ORDER = compareByDescending<FleetNode> { it.capacityMillicores }.thenBy { it.vm.value }
    }
}
