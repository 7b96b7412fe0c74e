package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import kotlin.random.Random

/**
 * Chooses backend servers for batch items, and the items that have to leave.
 *
 * Load pattern: online load alternates between a low and a high phase every few seconds, and batch items run for longer
 * than a phase. While batch is in no hurry it fills servers only in part, so that a rise of online load finds free
 * slots and few items have to be stopped; as its due time comes closer it fills more. An online request that finds a
 * server full takes the slot of a batch item at once. A stopped item goes on later from the event that it had
 * reached.
 */
class BatchPlacement(
    private val board: ServerTracker,
    private val ownDomain: FailureDomainId,
    private val random: Random = Random.Default,
) {
    /** The emptiest server with room for one more item, or null. */
    fun place(service: String, slack: Slack, excludedServers: Set<BackendServerId> = emptySet()): BackendServer? =
        board.eligible(service, excludedServers)
            .filter { board.occupancy(it.id).total < fillLimit(it, slack) }
            .minByOrNull {
                val remote = if (it.failureDomain == ownDomain) 0.0 else REMOTE_PENALTY
                board.occupancy(it.id).total.toDouble() / it.slots + remote + random.nextDouble() * TIE_SPREAD
            }

    /**
     * How many of this node's items have to leave [server]. Each node with items there takes its part of the excess, by
     * lot where that is less than one item, so that together they give back about as many slots as are missing.
     */
    fun excessItems(server: BackendServer): Int {
        val load = board.occupancy(server.id)
        val own = board.localOccupancy(server.id).batch
        val over = load.total - server.slots
        if (over <= 0 || own == 0) return 0
        val part = over.toDouble() * own / load.batch
        return (part + random.nextDouble()).toInt().coerceAtMost(own)
    }

    /**
     * How many items this node may start until it looks at the loads again. All nodes see the same spare slots, and see
     * the items that the others start only [REPORT_PERIODS] periods later.
     */
    fun startQuota(nodes: Int): Int {
        val spare = board.all().sumOf { (it.slots - board.occupancy(it.id).total).coerceAtLeast(0) }
        return (spare.toDouble() / nodes / REPORT_PERIODS * STARTING_SHARE + random.nextDouble()).toInt()
    }

    private fun fillLimit(server: BackendServer, slack: Slack): Int =
        (server.slots * slack.fillShare).toInt().coerceIn(1, server.slots)

    private companion object {
        /** Periods of exchange that a report takes between nodes behind different relays. */
        const val REPORT_PERIODS = 4

        /** One of so many nodes has items that wait; the others leave their share unused. */
        const val STARTING_SHARE = 2.0

        /** In units of a full server: a remote server is chosen when it is this much emptier than a local one. */
        const val REMOTE_PENALTY = 0.25

        /** In units of a full server: loads this close count as equal, about one request of eight. */
        const val TIE_SPREAD = 0.12
    }
}
