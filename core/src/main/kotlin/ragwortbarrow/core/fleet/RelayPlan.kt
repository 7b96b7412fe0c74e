package ragwortbarrow.core.fleet

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Selects the nodes with which this node exchanges states. In each failure domain, the [RELAYS] nodes with the largest
 * CPU share are relays. All relays exchange states with each other, and each other node with one relay of its failure
 * domain, which forwards sums. The number of messages of a node therefore grows with the number of failure domains, not
 * with the size of the fleet.
 *
 * A relay precedes the nodes that it relays in a fixed total order, so nodes never relay each other in a cycle, even if
 * their views of the members differ.
 */
class RelayPlan(private val members: FleetMembers, private val timer: TimerService) {
    private val backoffUntilMillis = HashMap<VmId, Long>()
    private val consecutiveFailures = HashMap<VmId, Int>()
    private val relaysByDomain = HashMap<FailureDomainId, List<FleetNode>>()
    private var rankedRelays: List<FleetNode>? = null
    private var cachedRank: Int? = null
    private var nextUnreachableIndex = 0
    private var nextFormerIndex = 0
    private var planChangeCount = -1
    private var planMillis = 0L

    val isRelay: Boolean get() = members.self in relays(members.self.failureDomain)

    /**
     * The relays of [failureDomain]: reachable nodes first, then unreachable ones if too few are reachable, so that
     * these are still called.
     */
    fun relays(failureDomain: FailureDomainId): List<FleetNode> {
        discardOldPlan()
        return relaysByDomain.getOrPut(failureDomain) { chooseRelays(failureDomain) }
    }

    /** Nodes become unreachable as time passes, so a plan is valid for at most one exchange period. */
    private fun discardOldPlan() {
        val nowMillis = timer.monotonicMillis()
        if (members.changeCount == planChangeCount && nowMillis - planMillis < MAX_PLAN_AGE_MILLIS) return
        planChangeCount = members.changeCount
        planMillis = nowMillis
        relaysByDomain.clear()
        rankedRelays = null
        cachedRank = null
    }

    private fun chooseRelays(failureDomain: FailureDomainId): List<FleetNode> {
        val reachable = members.reachable().filter { it.failureDomain == failureDomain }
        val self = listOf(members.self).filter { it.failureDomain == failureDomain }
        val relays = (reachable + self).sortedWith(RELAY_ORDER).take(RELAYS)
        if (relays.size == RELAYS) return relays
        val unreachable = members.others().filter { it.failureDomain == failureDomain && it !in reachable }
        return relays + unreachable.sortedWith(RELAY_ORDER).take(RELAYS - relays.size)
    }

    /** The relay of this node; null if this node is a relay. */
    fun ownRelay(): FleetNode? {
        val relays = relays(members.self.failureDomain)
        if (members.self in relays) return null
        val order = rankedRelays
            ?: RendezvousHash.rank(members.self.vm.value, relays) { it.vm.value }.also { rankedRelays = it }
        val nowMillis = timer.monotonicMillis()
        return order.firstOrNull { (backoffUntilMillis[it.vm] ?: 0) <= nowMillis } ?: order.firstOrNull()
    }

    /** The nodes with which this node exchanges states in each period. */
    fun exchangePeers(): List<FleetNode> {
        ownRelay()?.let { return listOf(it) }
        val domains = members.others().mapTo(HashSet()) { it.failureDomain } + members.self.failureDomain
        return domains.flatMap { relays(it) }.filter { it.vm != members.self.vm }
    }

    /**
     * The next unreachable member to call, in a round robin that starts with potential relays. Without these calls,
     * parts of a partitioned fleet that each have enough relays would never find each other again.
     */
    fun nextUnreachable(): FleetNode? {
        val unreachable = members.others().filter { !members.isReachable(it.vm) }.sortedWith(RELAY_ORDER)
        if (unreachable.isEmpty()) {
            nextUnreachableIndex = 0
            return null
        }
        return unreachable[nextUnreachableIndex++ % unreachable.size]
    }

    /**
     * The next former member to call; null if this node is no relay. Parts of a fleet that were cut off from each other
     * until their members expired find each other again through these calls. Only relays tell others of a member, so
     * every other call is to one that may be a relay now.
     */
    fun nextFormer(): FleetNode? {
        if (!isRelay) return null
        val former = members.former().sortedWith(RELAY_ORDER)
        if (former.isEmpty()) return null
        val index = nextFormerIndex++
        val called = if (index % 2 == 0) firstOfEachDomain(former) else former
        return called[index / 2 % called.size]
    }

    private fun firstOfEachDomain(nodes: List<FleetNode>) =
        nodes.groupBy { it.failureDomain }.values.flatMap { it.take(RELAYS) }

    /**
     * Whether this node watches the platform: the first [RELAYS] reachable nodes of a failure domain do, and as many
     * again if the relay of this node can't reach the platform's store.
     */
    fun isWatcher(isStoreReachableFromRelay: Boolean): Boolean {
        discardOldPlan()
        val rank = cachedRank ?: computeRankInDomain().also { cachedRank = it }
        return rank < RELAYS || (!isStoreReachableFromRelay && rank < RELAYS * 2)
    }

    /**
     * Whether this node watches the backend servers. A watch of them costs calls all the time, since each heartbeat is
     * a change, so one relay of each failure domain has one, and at least [MIN_SERVER_WATCHERS] of the fleet. Relays
     * that can't reach the store, according to [isStoreReachableFrom], are passed over.
     */
    fun isServerWatcher(isStoreReachableFromRelay: Boolean, isStoreReachableFrom: (VmId) -> Boolean): Boolean {
        if (!isWatcher(isStoreReachableFromRelay)) return false
        val inDomain = rankedInDomain()
        val rank = inDomain.indexOf(members.self)
        if (rank >= RELAYS) return true
        val domains = members.reachable().mapTo(HashSet()) { it.failureDomain } + members.self.failureDomain
        val watchers = (MIN_SERVER_WATCHERS + domains.size - 1) / domains.size
        return inDomain.take(rank).count { isStoreReachableFrom(it.vm) } < watchers
    }

    private fun computeRankInDomain(): Int = rankedInDomain().indexOf(members.self)

    private fun rankedInDomain(): List<FleetNode> {
        val domain = members.self.failureDomain
        return (members.reachable().filter { it.failureDomain == domain } + members.self).sortedWith(RELAY_ORDER)
    }

    /** Whether this node does the work that only one node of the fleet should do: it is the first reachable one. */
    fun isCoordinator(): Boolean = (members.reachable() + members.self).minWith(RELAY_ORDER) == members.self

    /** Records a successful call to [vm]. */
    fun recordSuccess(vm: VmId) {
        consecutiveFailures.remove(vm)
        backoffUntilMillis.remove(vm)
    }

    /** Records a failed call to [vm]; after [FAILURE_THRESHOLD] in a row, another relay is used for a while. */
    fun recordFailure(vm: VmId) {
        val count = (consecutiveFailures[vm] ?: 0) + 1
        consecutiveFailures[vm] = count
        if (count >= FAILURE_THRESHOLD) backoffUntilMillis[vm] = timer.monotonicMillis() + RELAY_BACKOFF_MILLIS
    }

    companion object {
        /** Relays per failure domain: one may fail and another be slow. Small domains have no more nodes than this. */
        const val RELAYS = 3

        /** One may fail and another one's connection go silent. */
        const val MIN_SERVER_WATCHERS = 3

        private const val FAILURE_THRESHOLD = 2

        /** One exchange period. */
        private const val MAX_PLAN_AGE_MILLIS = 100L

        /** By then the relay either counts as unreachable or has recovered. */
        private const val RELAY_BACKOFF_MILLIS = 2_000L

        private val RELAY_ORDER = compareByDescending<FleetNode> { it.capacityMillicores }.thenBy { it.vm.value }
    }
}
