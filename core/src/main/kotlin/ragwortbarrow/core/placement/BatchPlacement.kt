package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import kotlin.random.Random

/**
 * Chooses backend servers for batch items, and the servers that batch has to leave.
 *
 * Load pattern: online load alternates between a low and a high phase every few seconds, and batch items run for longer
 * than a phase. Batch fills the slots that online leaves free up to a reserve, and gives them back as soon as an online
 * request would have to wait. A stopped item goes on later from the event that it had reached, so yielding costs little.
 */
class BatchPlacement(
    private val board: ServerBoard,
    private val ownDomain: FailureDomainId,
    private val random: Random = Random.Default,
) {
    /** The emptiest server with a spare slot for one more item, or null. */
    fun place(service: String, except: Set<BackendServerId> = emptySet()): BackendServer? =
        board.eligible(service, except)
            .filter { board.occupancy(it.id).total + reserve(it) < it.slots }
            .minByOrNull {
                val remote = if (it.failureDomain == ownDomain) 0.0 else REMOTE_PENALTY
                board.occupancy(it.id).total.toDouble() / it.slots + remote + random.nextDouble() * TIE_SPREAD
            }

    /** How many of this node's items have to leave [server] now. */
    fun excess(server: BackendServer): Int {
        val over = board.occupancy(server.id).total - server.slots
        return over.coerceIn(0, board.ownOccupancy(server.id).batch)
    }

    /** Slots that batch leaves free for the next online requests. */
    private fun reserve(server: BackendServer): Int = (server.slots * RESERVE_SHARE).toInt().coerceAtLeast(1)

    private companion object {
        /** One slot of eight: online arrivals at one server between two reports of the other nodes. */
        const val RESERVE_SHARE = 0.13

        const val REMOTE_PENALTY = 0.25
        const val TIE_SPREAD = 0.12
    }
}
