package ragwortbarrow.core.allowance

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.SlidingCount
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.core.traffic.CustomerAccount
import kotlin.random.Random

/** How a request stands against its customer's rate. */
data class RateLimitDecision(
    val isAdmitted: Boolean,
    /** Requests of the window over all nodes, as far as known. */
    val used: Int,
    val allowed: Double,
    /** Nodes whose part is reserved because they have not been heard of lately. */
    val unreachableNodes: Int,
)

/**
 * Keeps each customer within its rate over all nodes without asking any of them for a request.
 *
 * Each node counts what it admitted in the window and tells the others a few times a second. A request is admitted
 * while the sum stays below rate × window + burst. All nodes decide on reports that are some hundred milliseconds old,
 * so each admits only the share of its requests that fits into what is left, by what all nodes together are offered
 * while a report is on its way. Equal shares for each node were dropped: with 74 nodes a share is less than a request.
 * A node that is not heard of may be alive behind a partition: its equal share of the whole is set aside, and it does
 * the same for us.
 *
 * Load pattern: one customer sends many times its rate, over all nodes at once, also while a failure domain is cut off.
 */
class CustomerRateLimiter(
    private val timer: TimerService,
    private val windowMillis: Long,
    private val random: Random = Random.Default,
) {
    private class OwnUse(windowMillis: Long) {
        val admitted = SlidingCount(windowMillis)
        val offered = SlidingCount(OFFERED_MILLIS)
    }

    private class PeerReport(val uses: Map<CustomerId, CustomerUsage>, val atMillis: Long)

    private val own = HashMap<CustomerId, OwnUse>()
    private val peers = HashMap<VmId, PeerReport>()

    /** Decides on one request of [customer] and counts it if it is admitted. */
    fun admit(customer: CustomerAccount, nodes: Int, unreachableNodes: Int): RateLimitDecision {
        if (customer.ratePerSecond <= 0) return RateLimitDecision(true, 0, Double.MAX_VALUE, 0)
        val use = own.getOrPut(customer.id) { OwnUse(windowMillis) }
        val nowMillis = timer.monotonicMillis()
        use.offered.add(nowMillis)
        val byPeers = usedByPeers(customer.id, nowMillis)
        val used = use.admitted.sum(nowMillis) + byPeers.admitted
        val whole = customer.ratePerSecond * windowMillis / MILLIS_PER_SECOND + customer.burst
        val allowed = whole * (nodes - unreachableNodes) / nodes
        val left = allowed - used
        val isAdmitted = left > 0 && random.nextDouble() * expected(use, byPeers, nowMillis) < left
        if (isAdmitted) use.admitted.add(nowMillis)
        return RateLimitDecision(isAdmitted, used, allowed, unreachableNodes)
    }

    /**
     * Requests that all nodes are offered before each of them knows of this one. A node without peers misses none.
     */
    private fun expected(use: OwnUse, byPeers: CustomerUsage, nowMillis: Long): Double {
        if (byPeers.offered == 0) return 0.0
        return (byPeers.offered + use.offered.sum(nowMillis)).toDouble() * REPORT_LAG_MILLIS / OFFERED_MILLIS
    }

    /** Takes back a request that was admitted and then was not sent to any backend server. */
    fun refund(customer: CustomerId) {
        own[customer]?.admitted?.remove()
    }

    /** What this node was offered and admitted, for the others. */
    fun usage(): Map<CustomerId, CustomerUsage> {
        val nowMillis = timer.monotonicMillis()
        return own.mapValues { (_, use) -> CustomerUsage(use.admitted.sum(nowMillis), use.offered.sum(nowMillis)) }
            .filterValues { it.admitted > 0 || it.offered > 0 }
    }

    /** Takes over what [peer], and the nodes behind it, were offered and admitted. */
    fun updatePeer(peer: VmId, uses: Map<CustomerId, CustomerUsage>) {
        peers[peer] = PeerReport(uses, timer.monotonicMillis())
    }

    fun removePeer(peer: VmId) {
        peers.remove(peer)
    }

    /** Requests that a silent node reported have left the window after its length; its share is set aside instead. */
    private fun usedByPeers(customer: CustomerId, nowMillis: Long): CustomerUsage {
        var sum = CustomerUsage()
        for (report in peers.values) {
            if (nowMillis - report.atMillis < windowMillis) report.uses[customer]?.let { sum += it }
        }
        return sum
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Offered requests are counted over this time; it is short, so that a jump shows soon. */
        const val OFFERED_MILLIS = 500L

        /**
         * The longest way of a report, over two relays in different failure domains: two periods to the first, four to
         * the second, and two to the node.
         */
        const val REPORT_LAG_MILLIS = 800L
    }
}
