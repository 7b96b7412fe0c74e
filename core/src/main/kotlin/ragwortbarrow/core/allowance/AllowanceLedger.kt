package ragwortbarrow.core.allowance

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.core.traffic.CustomerAccount

/** How a request stands against its customer's rate. */
data class AllowanceDecision(
    val isAdmitted: Boolean,
    /** Requests of the window over all nodes, as far as known. */
    val used: Int,
    val allowed: Double,
    /** Nodes whose part is reserved because they have not been heard of lately. */
    val silentNodes: Int,
)

/**
 * Keeps each customer within its rate over all nodes without asking any of them for a request.
 *
 * Each node counts what it admitted in the window and tells the others a few times a second. A request is admitted
 * while the sum stays below rate × window + burst. Between two reports a node admits at most its share of what is
 * left, so that all nodes together cannot pass the limit on old reports. A node that is not heard of may be alive
 * behind a partition: its equal share of the whole is set aside, and it does the same for us.
 *
 * Load pattern: one customer sends many times its rate, over all nodes at once, also while a failure domain is cut off.
 */
class AllowanceLedger(private val timer: TimerService, private val windowMillis: Long) {
    private val own = HashMap<CustomerId, SlidingCount>()
    private class PeerReport(val admitted: Map<CustomerId, Int>, val atMillis: Long)

    private val peers = HashMap<VmId, PeerReport>()
    private val sinceReport = HashMap<CustomerId, Int>()

    /** Decides on one request of [customer] and counts it if it is admitted. */
    fun admit(customer: CustomerAccount, nodes: Int, silentNodes: Int): AllowanceDecision {
        if (customer.ratePerSecond <= 0) return AllowanceDecision(true, 0, Double.MAX_VALUE, 0)
        val count = own.getOrPut(customer.id) { SlidingCount(windowMillis) }
        val nowMillis = timer.monotonicMillis()
        val used = count.sum(nowMillis) + usedByPeers(customer.id, nowMillis)
        val whole = customer.ratePerSecond * windowMillis / MILLIS_PER_SECOND + customer.burst
        val allowed = whole * (nodes - silentNodes) / nodes
        val spent = sinceReport[customer.id] ?: 0
        val heard = (nodes - silentNodes).coerceAtLeast(1)
        val perReport = if (heard == 1) Double.MAX_VALUE else (allowed - used + spent) / heard
        val isAdmitted = used < allowed && (spent < 1 || spent < perReport)
        if (isAdmitted) {
            count.add(nowMillis)
            sinceReport[customer.id] = spent + 1
        }
        return AllowanceDecision(isAdmitted, used, allowed, silentNodes)
    }

    /** Takes back a request that was admitted and then was not sent to any backend server. */
    fun takeBack(customer: CustomerId) {
        own[customer]?.remove()
    }

    /** What this node admitted in the window, for the others; starts a new share for each customer. */
    fun report(): Map<CustomerId, Int> {
        val nowMillis = timer.monotonicMillis()
        sinceReport.clear()
        return own.mapValues { (_, count) -> count.sum(nowMillis) }.filterValues { it > 0 }
    }

    /** Takes over what [peer] admitted in the window. */
    fun peerReport(peer: VmId, admitted: Map<CustomerId, Int>) {
        peers[peer] = PeerReport(admitted, timer.monotonicMillis())
    }

    fun forgetPeer(peer: VmId) {
        peers.remove(peer)
    }

    /** Requests that a silent node reported have left the window after its length; its share is set aside instead. */
    private fun usedByPeers(customer: CustomerId, nowMillis: Long): Int =
        peers.values.sumOf { if (nowMillis - it.atMillis < windowMillis) it.admitted[customer] ?: 0 else 0 }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
