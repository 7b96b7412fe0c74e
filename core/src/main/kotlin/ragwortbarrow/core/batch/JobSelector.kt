package ragwortbarrow.core.batch

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record

/** A job that may be processed next, with the data that the selection depends on. */
internal data class JobCandidate(
    val jobId: String,
    val customer: CustomerId,
    val weight: Int,
    /** The items or tokens that the customer has used recently, decayed over time. */
    val recentUsage: Double,
    val deadlineMillis: Long,
    val windowMillis: Long,
    val remainingItems: Int,
    /** Recent throughput, from which the end of the job is projected. */
    val itemsPerSecond: Double,
)

internal enum class SelectionReason { DEADLINE_AT_RISK, FAIR_SHARE }

internal data class JobSelection(val candidate: JobCandidate, val reason: SelectionReason)

/** Selects the job that is processed next. */
internal object JobSelector {
    /** The fraction of its completion window by which a job should finish early. */
    private const val SAFETY_FRACTION = 0.1

    /**
     * Selects the job with the earliest deadline among those at risk of missing it. If no job is at risk, selects the
     * customer with the lowest recent usage relative to its weight, and its job with the earliest deadline.
     */
    fun choose(
        candidates: List<JobCandidate>,
        nowMillis: Long,
        decisions: DecisionLog = DecisionLog.NONE,
    ): JobSelection? {
        val byDeadline = compareBy<JobCandidate> { it.deadlineMillis }.thenBy { it.jobId }
        val byShare =
            compareBy<JobCandidate> { it.recentUsage / it.weight.coerceAtLeast(1) }.thenBy { it.customer.value }
        val atRisk = candidates.filter { isAtRisk(it, nowMillis) }
        val selection = if (atRisk.isNotEmpty()) {
            JobSelection(atRisk.minWith(byDeadline), SelectionReason.DEADLINE_AT_RISK)
        } else {
            candidates.minWithOrNull(byShare.then(byDeadline))?.let { JobSelection(it, SelectionReason.FAIR_SHARE) }
        } ?: return null
        decisions.record(
            "batch_order",
            "job" to selection.candidate.jobId,
            "customer" to selection.candidate.customer,
            "reason" to selection.reason.name.lowercase(),
            "candidates" to candidates.size,
            "at_risk" to atRisk.size,
            "served" to selection.candidate.recentUsage.toLong(),
            "weight" to selection.candidate.weight,
        )
        return selection
    }

    /** Whether the projected end of [job] is too close to its deadline. */
    fun isAtRisk(job: JobCandidate, nowMillis: Long): Boolean {
        val latestSafeEndMillis = job.deadlineMillis - job.windowMillis * SAFETY_FRACTION
        if (nowMillis > latestSafeEndMillis) return true
        if (job.itemsPerSecond <= 0.0) return false
        return nowMillis + job.remainingItems / job.itemsPerSecond * 1_000 > latestSafeEndMillis
    }
}
