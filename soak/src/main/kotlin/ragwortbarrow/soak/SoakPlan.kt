package ragwortbarrow.soak

import ragwortbarrow.standins.link.LinkFault
import kotlin.random.Random

/** A fault that begins [atMillis] after the callers and lasts [forMillis]. */
internal data class PlannedFault(val atMillis: Long, val forMillis: Long, val fault: SoakFault)

/** How large a soak is. */
internal data class SoakSize(
    val nodes: Int = 6,
    val failureDomains: Int = 3,
    val servers: Int = 6,
    val callers: Int = 12,
)

/** The faults of a run, drawn from its seed alone: in series and overlapping, several of them on the same target. */
internal fun soakPlan(seed: Long, seconds: Int, size: SoakSize): List<PlannedFault> {
    val random = Random(seed)
    val lastMillis = seconds * 1_000L - QUIET_MILLIS
    val plan = ArrayList<PlannedFault>()
    var atMillis = QUIET_MILLIS
    while (atMillis < lastMillis) {
        val forMillis = random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS)
        plan += PlannedFault(atMillis, forMillis, drawFault(random, size))
        // One in three comes together with the one before.
        if (random.nextInt(3) > 0) atMillis += random.nextLong(LONGEST_PAUSE_MILLIS)
    }
    return plan
}

private fun drawFault(random: Random, size: SoakSize): SoakFault {
    val node = nodeName(random.nextInt(size.nodes))
    val server = random.nextInt(size.servers)
    val linkFault = when (random.nextInt(6)) {
        0 -> LinkFault.StallBoth
        1 -> LinkFault.StallFromTarget
        2 -> LinkFault.StallToTarget
        3 -> LinkFault.Delay(random.nextLong(10, 120))
        else -> LinkFault.Reset
    }
    return when (random.nextInt(15)) {
        0 -> SoakFault.Freeze(node)
        1, 2 -> SoakFault.Kill(node)
        3, 4 -> SoakFault.Restart(node)
        5 -> SoakFault.HangUp(node)
        6 -> SoakFault.Link(storeLink(node), linkFault, setOf(node))
        7, 8 -> SoakFault.Link(peerLink(node), linkFault, setOf(node))
        9 -> SoakFault.Link(serverLink(server), linkFault, emptySet())
        10 -> SoakFault.StoreDown(lapses = random.nextBoolean())
        11 -> SoakFault.StoreLosesAnswers(random.nextInt(1, 5))
        12 -> SoakFault.StoreForgetsHistory
        13 -> SoakFault.Drain(server)
        else -> if (random.nextBoolean()) SoakFault.ChangeConfiguration else SoakFault.WithdrawKey
    }
}

internal fun nodeName(number: Int) = "node-$number"

internal fun storeLink(node: String) = "$node>store"

internal fun peerLink(node: String) = ">$node"

internal fun serverLink(server: Int) = ">server-$server"

/** Without faults at the beginning and at the end. */
private const val QUIET_MILLIS = 4_000L
private const val SHORTEST_MILLIS = 300L
private const val LONGEST_MILLIS = 6_000L
private const val LONGEST_PAUSE_MILLIS = 3_000L
