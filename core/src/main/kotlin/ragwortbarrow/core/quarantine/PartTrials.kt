package ragwortbarrow.core.quarantine

/**
 * Decides when a held batch item is sent to find out whether servers still crash on its quarantined part. All nodes
 * together send one at a time: nodes tell each other the first item that they hold, and the holder of the first of all
 * sends it. A trial counts as failed from its start until it is known that no server got it, so the trial of a node
 * that ends, or whose outcome is unknown, counts too. Times are monotonic, in milliseconds.
 */
internal class PartTrials(nowMillis: Long, started: Int = 0, returned: Int = 0) {
    var started = started
        private set
    private var returned = returned

    /** When a trial last started or was returned, as far as this node knows. */
    private var changedMillis = nowMillis
    private var ownCandidate: String? = null
    private var ownSinceMillis = nowMillis
    private var offeredMillis = nowMillis
    private val heardMillis = HashMap<String, Long>()

    private val failed: Int get() = started - returned

    val report: TrialReport get() = TrialReport(started, returned, ownCandidate)

    /** Sets the first item that this node could send; null if there is none. Called periodically. */
    fun offer(candidate: String?, nowMillis: Long) {
        // A node that was paused does not know what happened meanwhile.
        if (candidate != ownCandidate || nowMillis - offeredMillis > MAX_OFFER_GAP_MILLIS) ownSinceMillis = nowMillis
        ownCandidate = candidate
        offeredMillis = nowMillis
    }

    fun merge(report: TrialReport, nowMillis: Long) {
        if (report.started > started || report.returned > returned) changedMillis = nowMillis
        started = maxOf(started, report.started)
        returned = maxOf(returned, report.returned)
        val candidate = report.firstCandidate ?: return
        heardMillis.values.removeAll { nowMillis - it > HEARD_MILLIS }
        if (heardMillis.size < MAX_HEARD || candidate in heardMillis) heardMillis[candidate] = nowMillis
    }

    /** Whether [candidate] is to be sent now; the last crash on the part was at [lastCrashMillis]. */
    fun isDue(candidate: String, lastCrashMillis: Long, nowMillis: Long): Boolean {
        val pauseMillis = PAUSES_MILLIS.getOrNull(failed) ?: return false
        return nowMillis - maxOf(lastCrashMillis, changedMillis) >= pauseMillis &&
            candidate == ownCandidate &&
            nowMillis - offeredMillis <= MAX_OFFER_GAP_MILLIS &&
            nowMillis - ownSinceMillis >= ANNOUNCE_MILLIS &&
            heardMillis.none { (heard, atMillis) -> heard < candidate && nowMillis - atMillis <= HEARD_MILLIS }
    }

    fun recordStart(nowMillis: Long) {
        started++
        changedMillis = nowMillis
    }

    /** Records that no server got a started trial. */
    fun recordReturn(nowMillis: Long) {
        if (returned >= started) return
        returned++
        changedMillis = nowMillis
    }

    private companion object {
        /**
         * Pauses before the first trial and after each failed one. The second is longer than a trial may go on without
         * an event, since the other nodes do not know when it ended.
         */
        val PAUSES_MILLIS = listOf(3_000L, 8_000L, 20_000L)

        /** Time until all nodes know the candidate of this one. */
        const val ANNOUNCE_MILLIS = 1_500L

        /** Candidates are reported several times within this time. */
        const val HEARD_MILLIS = 2_500L
        const val MAX_OFFER_GAP_MILLIS = 500L
        const val MAX_HEARD = 256
    }
}
