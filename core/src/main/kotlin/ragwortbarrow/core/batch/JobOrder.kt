package ragwortbarrow.core.batch

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record

/** A job that could be served next, with what the decision depends on. */
internal data class JobCandidate(
    val jobId: String,
    val customer: CustomerId,
    val weight: Int,
    /** What the customer was served recently, in items or tokens. */
    val served: Double,
    val deadlineMillis: Long,
    val windowMillis: Long,
    val remainingItems: Int,
    /** Recent throughput that the job can count on. */
    val itemsPerSecond: Double,
)

internal enum class PlacementReason { DEADLINE_AT_RISK, FAIR_SHARE }

internal data class JobPlacement(val candidate: JobCandidate, val reason: PlacementReason)

/** Decides which job is served next. */
internal object JobOrder {
    /** The part of its window by which a job should be finished early. */
    private const val SAFETY_FRACTION = 0.1

    /**
     * Jobs at risk of missing their deadline go first, by deadline. Otherwise the customer that was served least for
     * its weight goes first, and within a customer the earliest deadline.
     */
    fun choose(
        candidates: List<JobCandidate>,
        nowMillis: Long,
        decisions: DecisionLog = DecisionLog.NONE,
    ): JobPlacement? {
        val byDeadline = compareBy<JobCandidate> { it.deadlineMillis }.thenBy { it.jobId }
        val byShare = compareBy<JobCandidate> { it.served / it.weight.coerceAtLeast(1) }.thenBy { it.customer.value }
        val atRisk = candidates.filter { isAtRisk(it, nowMillis) }
        val placement = if (atRisk.isNotEmpty()) {
            JobPlacement(atRisk.minWith(byDeadline), PlacementReason.DEADLINE_AT_RISK)
        } else {
            candidates.minWithOrNull(byShare.then(byDeadline))?.let { JobPlacement(it, PlacementReason.FAIR_SHARE) }
        } ?: return null
        decisions.record(
            "batch_order",
            "job" to placement.candidate.jobId,
            "customer" to placement.candidate.customer,
            "reason" to placement.reason.name.lowercase(),
            "candidates" to candidates.size,
            "at_risk" to atRisk.size,
            "served" to placement.candidate.served.toLong(),
            "weight" to placement.candidate.weight,
        )
        return placement
    }

    /** Whether the projected end of [job] is too close to its deadline. */
    fun isAtRisk(job: JobCandidate, nowMillis: Long): Boolean {
        val safeEndMillis = job.deadlineMillis - job.windowMillis * SAFETY_FRACTION
        if (nowMillis > safeEndMillis) return true
        if (job.itemsPerSecond <= 0.0) return false
        return nowMillis + job.remainingItems / job.itemsPerSecond * 1_000 > safeEndMillis
    }
}
