package ragwortbarrow.core.quarantine

/**
 * Decides when a held batch item is sent to find out whether servers still crash on its quarantined part. All nodes
 * together send one at a time: nodes exchange the first item that they hold, and the holder of the first of all sends
 * it. It announces the trial first. From then on the trial counts as failed, until it is known that no server got
 * it, so the trial of a node that ends, or whose outcome is unknown, counts too. Times are monotonic, in milliseconds.
 */
internal class PartTrials(nowMillis: Long) {
    /** Trials that were announced. */
    var started = 0
        private set
    private var returned = 0

    /** When a trial was last announced, sent or returned, as far as this node knows. */
    private var changedMillis = nowMillis
    private var ownCandidate: String? = null
    private var ownSinceMillis = nowMillis
    private var offeredMillis = nowMillis
    /** When the candidate of another node was last reported. */
    private val candidateReports = HashMap<String, Long>()

    /** Until then this node offers no candidate, because it could not send its own item. */
    private var backoffUntilMillis = Long.MIN_VALUE

    /** The announced trial that is not sent yet. */
    private var announced: String? = null
    private var announcedMillis = nowMillis

    private val failed: Int get() = started - returned

    val report: TrialReport get() = TrialReport(started, returned, ownCandidate)

    /**
     * Sets the first item that this node could send, or has sent as a trial that goes on; null if there is none. The
     * last crash on the part was at [lastCrashMillis]. The number of failed trials has no limit if [isRetried]. Called
     * periodically.
     */
    fun offer(item: String?, lastCrashMillis: Long, nowMillis: Long, isRetried: Boolean) {
        val isOverdue = announced != null && nowMillis - announcedMillis >= SEND_MILLIS
        if (isOverdue) backoffUntilMillis = nowMillis + BACKOFF_MILLIS
        val candidate = item?.takeIf { nowMillis >= backoffUntilMillis }
        // A node that was paused does not know what happened meanwhile.
        val isContinued = candidate == ownCandidate && nowMillis - offeredMillis <= MAX_OFFER_GAP_MILLIS
        ownCandidate = candidate
        offeredMillis = nowMillis
        if (!isContinued) ownSinceMillis = nowMillis
        val isFirst = candidate != null &&
            candidateReports.none { (other, atMillis) ->
                other < candidate && nowMillis - atMillis <= REPORT_TTL_MILLIS
            }
        if (announced != null && !(isContinued && isFirst)) {
            announced = null
            recordReturn(nowMillis)
        }
        if (announced == null && isFirst && isPauseOver(lastCrashMillis, nowMillis, isRetried)) announce(nowMillis)
    }

    private fun isPauseOver(lastCrashMillis: Long, nowMillis: Long, isRetried: Boolean): Boolean {
        val lastPauseMillis = PAUSES_MILLIS.last().takeIf { isRetried }
        val pauseMillis = PAUSES_MILLIS.getOrNull(failed) ?: lastPauseMillis ?: return false
        return nowMillis - maxOf(lastCrashMillis, changedMillis) >= pauseMillis &&
            nowMillis - ownSinceMillis >= PROPAGATION_MILLIS
    }

    private fun announce(nowMillis: Long) {
        started++
        announced = ownCandidate
        announcedMillis = nowMillis
        changedMillis = nowMillis
    }

    fun merge(report: TrialReport, nowMillis: Long) {
        if (report.started > started || report.returned > returned) changedMillis = nowMillis
        started = maxOf(started, report.started)
        returned = maxOf(returned, report.returned)
        val candidate = report.firstCandidate ?: return
        candidateReports.values.removeAll { nowMillis - it > REPORT_TTL_MILLIS }
        if (candidateReports.size >= MAX_REPORTS && candidate !in candidateReports) return
        candidateReports[candidate] = nowMillis
    }

    /** Whether [candidate] is to be sent now. */
    fun isDue(candidate: String, nowMillis: Long): Boolean = candidate == announced &&
        nowMillis - offeredMillis <= MAX_OFFER_GAP_MILLIS &&
        nowMillis - announcedMillis >= PROPAGATION_MILLIS

    /** Records that the announced trial is sent. */
    fun recordSent(nowMillis: Long) {
        announced = null
        changedMillis = nowMillis
    }

    /** Records that no server got an announced trial. */
    fun recordReturn(nowMillis: Long) {
        if (returned >= started) return
        returned++
        changedMillis = nowMillis
    }

    private companion object {
        /** Pauses before the first trial and after each failed one; a server that ended is back after some seconds. */
        val PAUSES_MILLIS = listOf(3_000L, 8_000L, 20_000L)

        /** Time until all nodes know what this one reports: three exchanges of an idle fleet. */
        const val PROPAGATION_MILLIS = 1_700L

        /** Time in which an announced trial is sent, unless there is no room for it. */
        const val SEND_MILLIS = 4_000L

        /** Time in which another node announces a trial. */
        const val BACKOFF_MILLIS = 10_000L

        /** Candidates are reported several times within this time. */
        const val REPORT_TTL_MILLIS = 2_500L
        const val MAX_OFFER_GAP_MILLIS = 500L
        const val MAX_REPORTS = 256
    }
}
