package ragwortbarrow.core.allowance

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.MILLIS_PER_SECOND
import ragwortbarrow.core.time.SlidingWindowCounter
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.core.traffic.CustomerAccount
import kotlin.random.Random

/** The result of checking a request against the rate limit of its customer. */
data class RateLimitDecision(
    val isAdmitted: Boolean,
    /** Requests admitted in the window by all nodes, as far as known. */
    val used: Int,
    val allowed: Double,
    /** Nodes that have not been heard from recently, whose share is reserved. */
    val unreachableNodes: Int,
)

/**
 * Enforces the rate limit of each customer over all nodes, without a call to another node per request.
 *
 * Each node counts the requests that it admitted in the window, and reports the count to the others a few times a
 * second. A request is admitted while the sum over all nodes is below rate × window + burst. All nodes decide on
 * reports that are some hundred milliseconds old, so each admits only a random fraction of its requests: what is left
 * of the limit, divided by the number of requests that all nodes are offered while a report is under way. Equal shares
 * per node don't work: with 74 nodes, a share is less than one request. An unreachable node may still be running behind
 * a partition, so its equal share of the limit is reserved, and it does the same for this node.
 *
 * This holds if a customer sends many times its rate through all nodes at once, even while a failure domain is cut off.
 */
class CustomerRateLimiter(
    private val timer: TimerService,
    private val windowMillis: Long,
    private val random: Random = Random.Default,
) {
    private class LocalUsage(windowMillis: Long) {
        val admitted = SlidingWindowCounter(windowMillis)
        val offered = SlidingWindowCounter(OFFERED_WINDOW_MILLIS)
    }

    private class PeerReport(val usage: Map<CustomerId, CustomerUsage>, val receivedMillis: Long)

    private val localUsages = HashMap<CustomerId, LocalUsage>()
    private val peerReports = HashMap<VmId, PeerReport>()

    /** Decides whether to admit a request of [customer], and counts it if so. */
    fun admit(customer: CustomerAccount, nodes: Int, unreachableNodes: Int): RateLimitDecision {
        if (customer.ratePerSecond <= 0) return RateLimitDecision(true, 0, Double.MAX_VALUE, 0)
        val local = localUsages.getOrPut(customer.id) { LocalUsage(windowMillis) }
        val nowMillis = timer.monotonicMillis()
        local.offered.add(nowMillis)
        val byPeers = peerUsage(customer.id, nowMillis)
        val used = local.admitted.sum(nowMillis) + byPeers.admitted
        val limit = customer.ratePerSecond * windowMillis / MILLIS_PER_SECOND + customer.burst
        val allowed = limit * (nodes - unreachableNodes) / nodes
        val remaining = allowed - used
        val isAdmitted = remaining > 0 &&
            random.nextDouble() * offeredDuringReport(local, byPeers, nowMillis) < remaining
        if (isAdmitted) local.admitted.add(nowMillis)
        return RateLimitDecision(isAdmitted, used, allowed, unreachableNodes)
    }

    /** The number of requests that all nodes are offered before each of them knows of this one; 0 without peers. */
    private fun offeredDuringReport(local: LocalUsage, byPeers: CustomerUsage, nowMillis: Long): Double {
        if (byPeers.offered == 0) return 0.0
        return (byPeers.offered + local.offered.sum(nowMillis)).toDouble() * REPORT_LAG_MILLIS / OFFERED_WINDOW_MILLIS
    }

    /** Uncounts an admitted request that was not sent to any backend server. */
    fun refund(customer: CustomerId) {
        localUsages[customer]?.admitted?.remove()
    }

    /** The requests that this node was offered and admitted, to be reported to the others. */
    fun usage(): Map<CustomerId, CustomerUsage> {
        val nowMillis = timer.monotonicMillis()
        return localUsages
            .mapValues { (_, local) -> CustomerUsage(local.admitted.sum(nowMillis), local.offered.sum(nowMillis)) }
            .filterValues { it.admitted > 0 || it.offered > 0 }
    }

    /** Replaces the usage reported by [peer], which includes that of the nodes that it relays. */
    fun updatePeer(peer: VmId, usage: Map<CustomerId, CustomerUsage>) {
        peerReports[peer] = PeerReport(usage, timer.monotonicMillis())
    }

    fun removePeer(peer: VmId) {
        peerReports.remove(peer)
    }

    /**
     * Sums the usage reported within the window. Older reports of unreachable nodes don't count, since their requests
     * have left the window; the share of these nodes is reserved instead.
     */
    private fun peerUsage(customer: CustomerId, nowMillis: Long): CustomerUsage {
        var sum = CustomerUsage()
        for (report in peerReports.values) {
            if (nowMillis - report.receivedMillis < windowMillis) report.usage[customer]?.let { sum += it }
        }
        return sum
    }

    private companion object {
        /** Window over which offered requests are counted; short, so that a jump in load shows quickly. */
        const val OFFERED_WINDOW_MILLIS = 500L

        /**
         * Longest time that a report takes, through two relays in different failure domains: two exchange periods to
         * the first relay, four to the second, and two to the node.
         */
        const val REPORT_LAG_MILLIS = 800L
    }
}
