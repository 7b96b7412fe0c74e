package ragwortbarrow.soak

import ragwortbarrow.standins.link.LinkFault
import kotlin.random.Random

/** A fault that begins [atMillis] after the callers start and lasts [durationMillis]. */
internal data class PlannedFault(val atMillis: Long, val durationMillis: Long, val fault: SoakFault)

/** Number of processes and callers of a soak. */
internal data class SoakSize(
    val nodes: Int = 6,
    val failureDomains: Int = 3,
    val servers: Int = 6,
    val callers: Int = 12,
)

/**
 * Draws the faults of a run from its seed and [troubles] alone: consecutive and overlapping ones, also several on the
 * same target.
 */
internal fun soakPlan(
    seed: Long,
    seconds: Int,
    size: SoakSize,
    troubles: Set<ServerTrouble> = emptySet(),
): List<PlannedFault> {
    val random = Random(seed)
    val lastMillis = seconds * 1_000L - FAULT_FREE_MILLIS
    val plan = ArrayList<PlannedFault>()
    var atMillis = FAULT_FREE_MILLIS
    while (atMillis < lastMillis) {
        val durationMillis = random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS)
        plan += PlannedFault(atMillis, durationMillis, drawFault(random, size))
        // One fault in three begins together with the next one.
        if (random.nextInt(3) > 0) atMillis += random.nextLong(MAX_GAP_MILLIS)
    }
    for (trouble in troubles) plan += trouble.plan(seed, FAULT_FREE_MILLIS, lastMillis, size)
    return plan.sortedBy { it.atMillis }
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
        10 -> SoakFault.StoreDown(expiresServers = random.nextBoolean())
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

/** Time without faults at the beginning and at the end. */
private const val FAULT_FREE_MILLIS = 4_000L
private const val MIN_FAULT_MILLIS = 300L
private const val MAX_FAULT_MILLIS = 6_000L
private const val MAX_GAP_MILLIS = 3_000L
