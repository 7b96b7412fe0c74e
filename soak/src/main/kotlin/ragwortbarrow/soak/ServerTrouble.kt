package ragwortbarrow.soak

import kotlin.random.Random

/** Faults of backend servers that a soak adds to the others. */
enum class ServerTrouble {
    /** Servers say in their responses that they leave. */
    LEAVE,

    /** Servers crash in series. */
    CRASH,

    /** Servers name limits of their requests. */
    LIMIT,

    /** Servers are replaced by cold ones. */
    COLD,

    /** The operator evacuates failure domains. */
    EVACUATE,
}

/** Draws the faults of one trouble between [fromMillis] and [untilMillis]. */
internal fun ServerTrouble.plan(seed: Long, fromMillis: Long, untilMillis: Long, size: SoakSize): List<PlannedFault> {
    // Each trouble has its own sequence, so that it does not change the times of other faults.
    val random = Random(seed * PRIME + ordinal)
    return buildList {
        var atMillis = fromMillis + random.nextLong(MAX_GAP_MILLIS)
        while (atMillis < untilMillis) {
            val durationMillis = random.nextLong(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS)
            draw(random, size).forEach { add(PlannedFault(atMillis, durationMillis, it)) }
            atMillis += random.nextLong(MAX_GAP_MILLIS)
        }
    }
}

private fun ServerTrouble.draw(random: Random, size: SoakSize): List<SoakFault> {
    val servers = (0 until size.servers).shuffled(random)
    return when (this) {
        ServerTrouble.LEAVE -> listOf(SoakFault.Leave(servers.first(), isDraining = random.nextBoolean()))
        ServerTrouble.CRASH ->
            listOf(SoakFault.CrashSeries(servers.take(random.nextInt(2, 5)), gapMillis = random.nextLong(1_000)))
        ServerTrouble.LIMIT -> servers.take(random.nextInt(1, 4)).map { SoakFault.Limit(it, drawLimit(random)) }
        ServerTrouble.COLD -> listOf(SoakFault.ColdStart(servers.first()))
        ServerTrouble.EVACUATE -> listOf(SoakFault.Evacuate(failureDomain(servers.first(), size)))
    }
}

private const val PRIME = 15_485_863L
private const val MAX_GAP_MILLIS = 2_500L
private const val MIN_DURATION_MILLIS = 300L
private const val MAX_DURATION_MILLIS = 6_000L

private fun drawLimit(random: Random) = if (random.nextInt(8) == 0) NO_LIMITS.random(random) else LIMITS.random(random)

private val LIMITS = listOf("0", "0.4", "1", "2.6", "5", "12.5", "40")

/** Values that are not valid. */
private val NO_LIMITS = listOf("", "-1", "NaN", "1e400")
