package ragwortbarrow.core.quarantine

/** A part that explains [crashes], which no other part explains better. */
internal class Suspect(val part: String, val crashes: List<ServerCrash>)

/**
 * Finds the parts of prompts on which servers crash. A part is suspected of the crashes since it was last answered.
 * The crashes are attributed to the part with the most of them, of several the one that was answered least recently,
 * and then the one later in the prompt. Its crashes no longer count for the parts beside it.
 */
internal class CrashAttribution(
    private val minCrashes: Int = 3,
    /** Servers that all end within this time, for example with their rack, may have another cause. */
    private val minSpanMillis: Long = 400,
    /** In less time, more crashes are needed, and nearly all that happened meanwhile. */
    private val minBurstCrashes: Int = 5,
    private val minBurstSpanMillis: Long = 100,
    private val minBurstShare: Double = 0.9,
) {
    fun suspects(
        crashes: List<ServerCrash>,
        /** When a part was last answered; null if never. */
        lastAnsweredMillis: (part: String) -> Long?,
    ): List<Suspect> {
        var open = crashes.sortedBy { it.atMillis }
        val suspects = ArrayList<Suspect>()
        while (open.size >= minCrashes) {
            val suspect = worst(open, lastAnsweredMillis) ?: break
            suspects += suspect
            open = open - suspect.crashes.toSet()
        }
        return suspects
    }

    private fun worst(open: List<ServerCrash>, lastAnsweredMillis: (String) -> Long?): Suspect? {
        val crashesByPart = HashMap<String, ArrayList<ServerCrash>>()
        for (crash in open) {
            for (part in crash.parts) {
                if (crash.atMillis > (lastAnsweredMillis(part) ?: Long.MIN_VALUE)) {
                    crashesByPart.getOrPut(part) { ArrayList() } += crash
                }
            }
        }
        return crashesByPart
            .filterValues { isConclusive(it, open) }
            .map { (part, ofPart) -> Suspect(part, ofPart) }
            .maxWithOrNull(
                compareBy<Suspect> { it.crashes.size }
                    .thenByDescending { lastAnsweredMillis(it.part) ?: Long.MIN_VALUE }
                    .thenBy { suspect -> suspect.crashes.maxOf { it.position(suspect.part) } }
                    .thenBy { it.part },
            )
    }

    private fun isConclusive(ofPart: List<ServerCrash>, open: List<ServerCrash>): Boolean {
        val span = ofPart.first().atMillis..ofPart.last().atMillis
        val spanMillis = span.last - span.first
        if (ofPart.size < minCrashes || spanMillis < minBurstSpanMillis) return false
        if (spanMillis >= minSpanMillis) return true
        return ofPart.size >= minBurstCrashes && ofPart.size >= minBurstShare * open.count { it.atMillis in span }
    }
}
