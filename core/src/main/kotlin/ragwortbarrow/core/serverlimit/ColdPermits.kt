package ragwortbarrow.core.serverlimit

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.SendPermits
import ragwortbarrow.core.time.MILLIS_PER_SECOND
import ragwortbarrow.core.time.TimerService

/**
 * Divides what a cold server tolerates among a few nodes, so that all nodes together keep within it in any one second.
 *
 * [LimitHolders.coldRank] chooses as many nodes as the server tolerates requests per second. Each of them sends one
 * request in a second or more and saves nothing up; the others send nothing. Two groups of nodes that do not know each
 * other therefore send twice the rate at most. A node that becomes a holder, or that has just started, waits for
 * [settleNanos], in which all nodes learn of each other.
 */
internal class ColdPermits(
    private val coldServers: ColdServers,
    private val holders: LimitHolders,
    private val timer: TimerService,
    private val settleNanos: Long,
) : SendPermits {
    /** The [share] of this node, null if it holds none, as decided for [changeCount]. */
    private class Allotment(val share: LimitShare?, val requestsPerSecond: Double, val changeCount: Int)

    private val startedNanos = timer.nanoTime()
    private val allotments = HashMap<BackendServerId, Allotment>()

    /** Forgets servers that are not listed or no longer cold. */
    fun retain(listed: Collection<BackendServer>) {
        val cold = listed.filter { coldServers.requestsPerSecond(it) != null }.mapTo(HashSet()) { it.id }
        allotments.keys.retainAll(cold)
    }

    /** The time until this node may send a request; at the latest, the server is no longer cold then. */
    override fun waitMillis(server: BackendServer, isSpare: Boolean): Double {
        val requestsPerSecond = coldServers.requestsPerSecond(server)
        if (requestsPerSecond == null) {
            allotments -= server.id
            return 0.0
        }
        val remainingMillis = coldServers.remainingMillis(server).toDouble()
        val share = share(server, requestsPerSecond) ?: return remainingMillis
        return minOf(remainingMillis, share.waitMillis(timer.nanoTime(), isSpare))
    }

    override fun permitsPerSecond(server: BackendServer): Double {
        val requestsPerSecond = coldServers.requestsPerSecond(server) ?: return Double.POSITIVE_INFINITY
        return share(server, requestsPerSecond)?.let { MILLIS_PER_SECOND / it.intervalMillis } ?: 0.0
    }

    override fun recordSend(server: BackendServer) {
        val requestsPerSecond = coldServers.requestsPerSecond(server) ?: return
        share(server, requestsPerSecond)?.recordSend(timer.nanoTime())
    }

    private fun share(server: BackendServer, requestsPerSecond: Double): LimitShare? {
        val changeCount = holders.changeCount
        val known = allotments[server.id]
        if (known?.changeCount == changeCount && known.requestsPerSecond == requestsPerSecond) return known.share
        val rank = holders.coldRank(server, requestsPerSecond)
        val share = if (rank?.isHolder == true) {
            share(known, intervalMillis = rank.holders * MILLIS_PER_SECOND / requestsPerSecond)
        } else {
            null
        }
        allotments[server.id] = Allotment(share, requestsPerSecond, changeCount)
        return share
    }

    private fun share(known: Allotment?, intervalMillis: Double): LimitShare {
        val nowNanos = timer.nanoTime()
        val held = known?.share
        if (held != null) return held.also { it.changeInterval(intervalMillis, nowNanos) }
        val settledNanos = if (known == null) startedNanos + settleNanos else nowNanos + settleNanos
        return LimitShare(intervalMillis, maxOf(nowNanos, settledNanos), maxSavedMillis = 0.0)
    }
}
