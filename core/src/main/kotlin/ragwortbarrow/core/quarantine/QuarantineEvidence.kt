package ragwortbarrow.core.quarantine

import ragwortbarrow.core.ids.BackendServerId

/** A request that a backend server had not begun to answer when it closed the connection, [ageMillis] ago. */
data class CrashReport(
    val server: BackendServerId,
    val requestId: String,
    /** The shared parts of the request's prompt, in order. */
    val sharedParts: List<String>,
    val ageMillis: Long,
)

/** A part of prompts that is refused, because servers crashed on it. */
data class QuarantineReport(
    val crashes: Int,
    val renewals: Int,
    val lastCrashAgeMillis: Long,
    val trials: TrialReport = TrialReport(),
) {
    /** The report of the later quarantine, or the sum of what two nodes know of the same one. */
    operator fun plus(other: QuarantineReport): QuarantineReport = when {
        other.renewals > renewals -> other
        other.renewals < renewals -> this
        else -> copy(trials = trials + other.trials)
    }
}

/**
 * What nodes tell each other about prompts on which servers crash. Times are ages, because the nodes' clocks differ; a
 * node that relays evidence adds the time for which it held it.
 */
data class QuarantineEvidence(
    val crashes: List<CrashReport> = emptyList(),
    /** Parts of crashed requests that were answered since, with the age of the answer. */
    val answerAgesMillis: Map<String, Long> = emptyMap(),
    val quarantines: Map<String, QuarantineReport> = emptyMap(),
) {
    private val isEmpty: Boolean get() = crashes.isEmpty() && answerAgesMillis.isEmpty() && quarantines.isEmpty()

    /** This evidence after [millis] have passed. */
    fun aged(millis: Long): QuarantineEvidence = if (isEmpty) {
        this
    } else {
        QuarantineEvidence(
            crashes.map { it.copy(ageMillis = it.ageMillis + millis) },
            answerAgesMillis.mapValues { (_, age) -> age + millis },
            quarantines.mapValues { (_, report) ->
                report.copy(lastCrashAgeMillis = report.lastCrashAgeMillis + millis)
            },
        )
    }

    /** The union of this evidence and [others]; evidence that arrives by two ways counts once. */
    operator fun plus(others: List<QuarantineEvidence>): QuarantineEvidence {
        val all = (others + this).filterNot { it.isEmpty }
        if (all.isEmpty()) return this
        val answers = HashMap<String, Long>()
        val reports = HashMap<String, QuarantineReport>()
        for (evidence in all) {
            for ((part, age) in evidence.answerAgesMillis) answers.merge(part, age, ::minOf)
            for ((part, report) in evidence.quarantines) reports.merge(part, report, QuarantineReport::plus)
        }
        return QuarantineEvidence(
            all.flatMap { it.crashes }.distinctBy { it.server to it.requestId },
            answers,
            reports,
        )
    }
}
