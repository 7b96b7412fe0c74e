package ragwortbarrow.core.quarantine

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Finds parts of prompts on which backend servers crash, so that requests with them are refused. The evidence of all
 * nodes counts: requests that were in flight at a crash, and parts that were answered since. A quarantine ends after a
 * time without crashes, or when the part is answered after all, for example by the trial of a held batch item
 * ([PartTrials]). Batch items, which may be many, are held for as long again unless the part is answered meanwhile. Its
 * memory is bounded. Confined to one thread.
 */
class PromptQuarantine(private val timer: TimerService, private val log: DecisionLog) {
    private class Disconnect(
        val server: BackendServerId,
        val requestId: String,
        val sharedParts: List<String>,
        val atMillis: Long,
    )

    private enum class Phase {
        /** Requests with the part are refused, and batch items held. */
        REFUSED,

        /** Requests are served, and batch items held. */
        HELD,

        /** Forgotten except for the next crash, which renews the quarantine. */
        RELEASED,
    }

    private class Quarantine(
        var crashes: Int,
        var lastCrashMillis: Long,
        val renewals: Int,
        val trials: PartTrials,
        var phase: Phase = Phase.REFUSED,
    ) {
        val isReleased: Boolean get() = phase == Phase.RELEASED
    }

    private val unconfirmed = ArrayList<Disconnect>()
    private val ownCrashes = ArrayDeque<Disconnect>()
    private val crashLog = CrashLog()
    private val attribution = CrashAttribution()
    private val ownAnswers = AnsweredParts(MAX_ANSWERED_PARTS)
    private val peerAnswers = AnsweredParts(MAX_ANSWERED_PARTS)

    /** Parts of crashed requests that this node has not answered since. */
    private val suspectedParts = HashSet<String>()

    /** Own answers to parts of crashed requests, to be reported to peers. */
    private val sharedAnswers = SharedAnswers(SHARE_MILLIS)
    private var evidenceChangedMillis = Long.MIN_VALUE / 2
    private var lastAnswerMillis = Long.MIN_VALUE
    private val quarantines = LinkedHashMap<String, Quarantine>()

    /** Called for each request of this node that was in flight at a crash. */
    var onCrashRecorded: () -> Unit = {}

    /** Number of parts that are refused now. */
    val size: Int get() = quarantines.values.count { it.phase == Phase.REFUSED }

    /** The first of [parts] that is refused; null if there is none. */
    fun quarantinedPart(parts: List<String>): String? =
        if (quarantines.isEmpty()) null else parts.firstOrNull { quarantines[it]?.phase == Phase.REFUSED }

    /** The first of [parts] for which batch items are held; null if there is none. */
    fun heldPart(parts: List<String>): String? =
        if (quarantines.isEmpty()) null else parts.firstOrNull { quarantines[it]?.isReleased == false }

    /** Records that a server began to answer a request with [sharedParts]. */
    fun recordAnswer(sharedParts: List<String>) {
        if (sharedParts.isEmpty()) return
        val nowMillis = timer.monotonicMillis()
        lastAnswerMillis = nowMillis
        for (part in sharedParts) {
            ownAnswers.record(part, nowMillis)
            if (suspectedParts.remove(part) || quarantines[part]?.isReleased == false) {
                sharedAnswers.record(part, nowMillis, nowMillis)
                evidenceChangedMillis = nowMillis
            }
        }
    }

    /**
     * Records that [server] closed the connection of a request before it began to answer. It counts as a crash unless
     * [recordActivity] shows soon that the server goes on.
     */
    fun recordDisconnect(server: BackendServerId, requestId: String, sharedParts: List<String>) {
        if (sharedParts.isEmpty() || unconfirmed.size >= MAX_UNCONFIRMED) return
        val disconnect = Disconnect(server, requestId, sharedParts, timer.monotonicMillis())
        unconfirmed += disconnect
        timer.once(CONFIRM_MILLIS) { if (unconfirmed.remove(disconnect)) recordCrash(disconnect) }
    }

    /** Records bytes from [server] on a connection that was in use at [inUseSinceMillis]. */
    fun recordActivity(server: BackendServerId, inUseSinceMillis: Long) {
        if (unconfirmed.isEmpty()) return
        val nowMillis = timer.monotonicMillis()
        unconfirmed.removeAll {
            it.server == server &&
                inUseSinceMillis <= it.atMillis &&
                nowMillis - it.atMillis >= BUFFERED_BYTES_MILLIS
        }
    }

    private fun recordCrash(disconnect: Disconnect) {
        if (ownCrashes.size >= MAX_OWN_CRASHES) ownCrashes.removeFirst()
        ownCrashes += disconnect
        addCrash(disconnect.server, disconnect.requestId, disconnect.sharedParts, disconnect.atMillis)
        log.record(
            "server_crashed",
            "server" to disconnect.server,
            "request_id" to disconnect.requestId,
            "parts" to disconnect.sharedParts.joinToString(","),
            "age_ms" to timer.monotonicMillis() - disconnect.atMillis,
        )
        onCrashRecorded()
    }

    private fun addCrash(server: BackendServerId, requestId: String, sharedParts: List<String>, atMillis: Long) {
        crashLog.add(server, requestId, sharedParts, atMillis) ?: return
        if (suspectedParts.size >= MAX_SUSPECTED_PARTS) suspectedParts.retainAll(crashLog.all.flatMap { it.parts })
        evidenceChangedMillis = timer.monotonicMillis()
        for (part in sharedParts) {
            val answeredMillis = ownAnswers[part]
            if (answeredMillis != null) sharedAnswers.record(part, answeredMillis, evidenceChangedMillis)
            if (answeredMillis == null || answeredMillis <= atMillis) suspectedParts += part
        }
    }

    /** The evidence that this node reports to its peers. */
    fun evidence(): QuarantineEvidence {
        val nowMillis = timer.monotonicMillis()
        while (ownCrashes.isNotEmpty() && nowMillis - ownCrashes.first().atMillis > SHARE_MILLIS) {
            ownCrashes.removeFirst()
        }
        return QuarantineEvidence(
            ownCrashes.map { CrashReport(it.server, it.requestId, it.sharedParts, nowMillis - it.atMillis) },
            sharedAnswers.agesMillis(nowMillis),
            quarantines.filterValues { !it.isReleased }.mapValues { (_, quarantine) ->
                QuarantineReport(
                    quarantine.crashes,
                    quarantine.renewals,
                    nowMillis - quarantine.lastCrashMillis,
                    quarantine.trials.report,
                )
            },
        )
    }

    /** Merges the evidence reported by a peer, or by a relay for its nodes. */
    fun merge(evidence: QuarantineEvidence) {
        val nowMillis = timer.monotonicMillis()
        for (report in evidence.crashes.take(MAX_OWN_CRASHES)) {
            val atMillis = nowMillis - report.ageMillis
            if (report.ageMillis <= SHARE_MILLIS * 2) {
                addCrash(report.server, report.requestId, report.sharedParts, atMillis)
            }
        }
        for ((part, ageMillis) in evidence.answerAgesMillis) peerAnswers.record(part, nowMillis - ageMillis)
        if (evidence.answerAgesMillis.isNotEmpty()) evidenceChangedMillis = nowMillis
        for ((part, report) in evidence.quarantines) adopt(part, report, nowMillis)
    }

    private fun adopt(part: String, report: QuarantineReport, nowMillis: Long) {
        val lastCrashMillis = nowMillis - report.lastCrashAgeMillis
        val phase = phase(report.lastCrashAgeMillis, report.renewals)
        // A quarantine that ended here is not taken up again from a node where it ends a little later.
        val known = quarantines[part]
        if (known?.renewals == report.renewals) known.trials.merge(report.trials, nowMillis)
        val isKnown = known != null && known.renewals >= report.renewals
        if (phase == Phase.RELEASED || isKnown || isAnsweredSince(part, lastCrashMillis)) return
        val trials = PartTrials(nowMillis).apply { merge(report.trials, nowMillis) }
        start(part, Quarantine(report.crashes, lastCrashMillis, report.renewals, trials, phase), "peer")
    }

    /**
     * Updates the batch items that are held here because parts of their prompts are refused, and those sent as trials;
     * none while this node is cut off from most others, which may send trials too. Called periodically.
     */
    fun updateHeldItems(items: List<HeldItem>) {
        if (quarantines.isEmpty()) return
        val nowMillis = timer.monotonicMillis()
        for ((part, quarantine) in quarantines) {
            val first = items.filter { part in it.sharedParts }.minOfOrNull { candidate(it) }
            val isRetried = quarantine.phase == Phase.HELD
            quarantine.trials.offer(first, quarantine.lastCrashMillis, nowMillis, isRetried)
        }
    }

    /** Whether [item] is to be sent although parts of its prompt are refused, as a trial of these parts. */
    fun isTrialDue(item: HeldItem): Boolean {
        val nowMillis = timer.monotonicMillis()
        val candidate = candidate(item)
        return quarantinesOf(item.sharedParts).values.all { it.trials.isDue(candidate, nowMillis) }
    }

    /** Records that a request with [sharedParts] is sent; returns those that it tests. */
    fun startTrial(sharedParts: List<String>): Set<String> {
        val tested = quarantinesOf(sharedParts)
        for ((part, quarantine) in tested) {
            quarantine.trials.recordSent(timer.monotonicMillis())
            log.record("part_tested", "part" to part, "trial" to quarantine.trials.started)
        }
        return tested.keys
    }

    /** Records that no server got the trial of [testedParts]. */
    fun returnTrial(testedParts: Set<String>) {
        for (quarantine in quarantinesOf(testedParts).values) quarantine.trials.recordReturn(timer.monotonicMillis())
    }

    private fun quarantinesOf(parts: Collection<String>): Map<String, Quarantine> =
        quarantines.filter { (part, quarantine) -> part in parts && !quarantine.isReleased }

    /** Sorts items by the number of their parts on which servers may crash: a crash on a single one proves more. */
    private fun candidate(item: HeldItem): String {
        val suspects = item.sharedParts.count { it in suspectedParts || it in quarantines }
        return "${suspects.toString().padStart(SUSPECTS_DIGITS, '0')} ${item.id}"
    }

    /** Decides which parts are refused; called periodically. */
    fun update() {
        val nowMillis = timer.monotonicMillis()
        releaseOver(nowMillis)
        if (crashLog.isEmpty || nowMillis - evidenceChangedMillis > SETTLE_MILLIS * 2) return
        crashLog.removeBefore(nowMillis - EVIDENCE_MILLIS)
        // The answers of other nodes arrive a little later than their crashes.
        val settled = crashLog.all.filter { nowMillis - it.atMillis >= SETTLE_MILLIS }
        val suspects = attribution.suspects(settled, ::lastAnsweredMillis)
        suspects.forEach { quarantine(it) }
        releaseExplained(settled, suspects)
    }

    private fun quarantine(suspect: Suspect) {
        val known = quarantines[suspect.part]
        val crashes = suspect.crashes.size
        val lastCrashMillis = suspect.crashes.last().atMillis
        when {
            known == null -> {
                // Without any answer meanwhile, all servers may be in trouble for another reason.
                if (lastAnswerMillis < suspect.crashes.first().atMillis) return
                val servers = suspect.crashes.mapTo(LinkedHashSet()) { it.server }
                val trials = PartTrials(timer.monotonicMillis())
                start(suspect.part, Quarantine(crashes, lastCrashMillis, renewals = 0, trials), "crashes", servers)
            }
            lastCrashMillis <= known.lastCrashMillis -> Unit
            known.phase != Phase.REFUSED -> {
                val server = suspect.crashes.last().server
                val renewed = Quarantine(crashes, lastCrashMillis, known.renewals + 1, known.trials)
                start(suspect.part, renewed, "renewed", setOf(server))
            }
            else -> {
                known.crashes = crashes
                known.lastCrashMillis = lastCrashMillis
            }
        }
    }

    /** Releases the parts all of whose crashes are explained by other parts, as more crashes have shown. */
    private fun releaseExplained(settled: List<ServerCrash>, suspects: List<Suspect>) {
        val explained = suspects.flatMapTo(HashSet()) { it.crashes }
        for ((part, quarantine) in quarantines) {
            if (quarantine.isReleased || suspects.any { it.part == part }) continue
            val own = settled.filter { part in it.parts }
            if (own.isEmpty() || !explained.containsAll(own)) continue
            quarantine.phase = Phase.RELEASED
            recordRelease(part, quarantine, "other parts explain its crashes")
        }
    }

    private fun start(
        part: String,
        quarantine: Quarantine,
        reason: String,
        servers: Set<BackendServerId> = emptySet(),
    ) {
        quarantines.remove(part)
        if (quarantines.size >= MAX_QUARANTINES) quarantines.remove(quarantines.keys.first())
        quarantines[part] = quarantine
        log.record(
            "part_quarantined",
            "part" to part,
            "reason" to reason,
            "crashes" to quarantine.crashes,
            "servers" to servers.joinToString(","),
            "last_crash_age_ms" to timer.monotonicMillis() - quarantine.lastCrashMillis,
            "duration_ms" to durationMillis(quarantine.renewals),
        )
    }

    private fun releaseOver(nowMillis: Long) {
        val answered = quarantines.filter { (part, quarantine) -> isAnsweredSince(part, quarantine.lastCrashMillis) }
        for ((part, quarantine) in answered) {
            quarantines.remove(part)
            if (quarantine.isReleased) continue
            quarantine.phase = Phase.RELEASED
            recordRelease(part, quarantine, "answered")
        }
        for ((part, quarantine) in quarantines) {
            val ageMillis = nowMillis - quarantine.lastCrashMillis
            val phase = phase(ageMillis, quarantine.renewals)
            if (phase <= quarantine.phase) continue
            quarantine.phase = phase
            recordRelease(part, quarantine, "no crash for $ageMillis ms")
        }
    }

    private fun recordRelease(part: String, quarantine: Quarantine, reason: String) = log.record(
        "part_released",
        "part" to part,
        "crashes" to quarantine.crashes,
        "reason" to reason,
        "items" to if (quarantine.phase == Phase.HELD) "held" else "released",
    )

    private fun phase(lastCrashAgeMillis: Long, renewals: Int): Phase {
        val durationMillis = durationMillis(renewals)
        return when {
            lastCrashAgeMillis < durationMillis -> Phase.REFUSED
            lastCrashAgeMillis < durationMillis * 2 -> Phase.HELD
            else -> Phase.RELEASED
        }
    }

    private fun lastAnsweredMillis(part: String): Long? {
        val own = ownAnswers[part]
        val peers = peerAnswers[part]
        return if (own != null && peers != null) maxOf(own, peers) else own ?: peers
    }

    /** A time that a peer reported may be later than it seems, so only answers of peers need a margin. */
    private fun isAnsweredSince(part: String, millis: Long): Boolean = (ownAnswers[part] ?: Long.MIN_VALUE) > millis ||
        (peerAnswers[part] ?: Long.MIN_VALUE) > millis + CLOCK_ERROR_MILLIS

    private fun durationMillis(renewals: Int): Long =
        (QUARANTINE_MILLIS shl minOf(renewals, MAX_DOUBLINGS)).coerceAtMost(MAX_QUARANTINE_MILLIS)

    private companion object {
        /** A server that only resets a connection goes on answering other requests within this time. */
        const val CONFIRM_MILLIS = 300L

        /** Bytes that a server sent before it ended may be read this long after the end of another connection. */
        const val BUFFERED_BYTES_MILLIS = 50L

        /** Time until the answers of all nodes are known. */
        const val SETTLE_MILLIS = 1_000L

        /** Largest error of a time that is known from an age that another node reported. */
        const val CLOCK_ERROR_MILLIS = 1_000L

        /** Crashes and answers are reported for this long. */
        const val SHARE_MILLIS = 5_000L

        /** Crashes count for this long, unless their parts are answered meanwhile. */
        const val EVIDENCE_MILLIS = 7_200_000L

        /** A quarantine ends this long after the last crash; the time doubles with each renewal. */
        const val QUARANTINE_MILLIS = 120_000L
        const val MAX_QUARANTINE_MILLIS = 3_600_000L
        const val MAX_DOUBLINGS = 5

        const val MAX_UNCONFIRMED = 256
        const val MAX_OWN_CRASHES = 64
        const val MAX_ANSWERED_PARTS = 4_096
        const val MAX_SUSPECTED_PARTS = 4_096
        const val MAX_QUARANTINES = 64
        const val SUSPECTS_DIGITS = 3
    }
}
