package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import kotlin.math.pow
import kotlin.random.Random

/**
 * Chooses backend servers for batch items, and the number of items to preempt on an overloaded server.
 *
 * Online load alternates between a low and a high phase every few seconds, and batch items run longer than a phase.
 * While there is plenty of slack, batch items fill servers only partially, so that a rise in online load finds free
 * slots and few items have to be preempted; as the due time approaches, they fill more. An online request that finds a
 * server full takes the slot of a batch item immediately. A preempted item later resumes after the last event it
 * received.
 */
class BatchPlacement(
    private val tracker: ServerTracker,
    private val localDomain: FailureDomainId,
    private val random: Random = Random.Default,
) {
    /**
     * A random server with room for one more item, or null if there is none; one with more room is more likely.
     *
     * Several nodes with waiting items see the same loads. If they all chose the least loaded server, it would have
     * more items than slots before they learn of each other, and most of these would be stopped again.
     */
    fun place(service: String, slack: Slack, excludedServers: Set<BackendServerId> = emptySet()): BackendServer? {
        val room = tracker.eligible(service, excludedServers, isBatch = true)
            .map { it to weight(it, maxOccupancy(it, slack) - tracker.occupancy(it.id).total) }
            .filter { (_, weight) -> weight > 0 }
        var drawn = random.nextDouble() * room.sumOf { (_, weight) -> weight }
        for ((server, weight) in room) {
            drawn -= weight
            if (drawn < 0) return server
        }
        return room.lastOrNull()?.first
    }

    /** Squared, so that servers are filled evenly; a free slot of a slow server counts for less. */
    private fun weight(server: BackendServer, freeSlots: Int): Double {
        val weight = (freeSlots.coerceAtLeast(0) / tracker.speeds.slowness(server.id)).pow(2)
        return if (server.failureDomain == localDomain) weight else weight * REMOTE_WEIGHT
    }

    /**
     * The number of this node's items to preempt on [server]. Each node with items there takes its proportional part of
     * the excess, rounded up or down at random, so that all nodes together free about as many slots as are missing.
     */
    fun excessItems(server: BackendServer): Int {
        val occupancy = tracker.occupancy(server.id)
        val localItems = tracker.localOccupancy(server.id).batch
        val excess = occupancy.total - server.slots
        if (excess <= 0 || localItems == 0) return 0
        val localPart = excess.toDouble() * localItems / occupancy.batch
        return (localPart + random.nextDouble()).toInt().coerceAtMost(localItems)
    }

    /**
     * The number of items this node may start before it reads the loads again. All nodes see the same free slots, and
     * learn of the items that the others start only [REPORT_PERIODS] periods later.
     */
    fun startQuota(nodes: Int): Int {
        val freeSlots = tracker.all().sumOf {
            (maxOccupancy(it, Slack.NONE) - tracker.occupancy(it.id).total).coerceAtLeast(0)
        }
        return (freeSlots.toDouble() / nodes / REPORT_PERIODS * QUOTA_FACTOR + random.nextDouble()).toInt()
    }

    private fun maxOccupancy(server: BackendServer, slack: Slack): Int =
        (server.slots * slack.maxUtilization).toInt().coerceIn(1, server.slots)

    private companion object {
        /** Exchange periods that a report takes between nodes behind different relays. */
        const val REPORT_PERIODS = 4

        /** Only one in this many nodes has waiting items; the quota of the others stays unused. */
        const val QUOTA_FACTOR = 2.0

        /** Weight of a server of another failure domain, against a local one with as many free slots. */
        const val REMOTE_WEIGHT = 0.5
    }
}
