package ragwortbarrow.core.fleet

import ragwortbarrow.core.allowance.CustomerUsage
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.placement.Occupancy
import ragwortbarrow.core.placement.ServerOutcomes
import ragwortbarrow.core.placement.ServerTimings
import ragwortbarrow.core.quarantine.QuarantineEvidence
import ragwortbarrow.core.serverlimit.ServerLimitReport

/** The current activity of a node, or the sum over a relay and the nodes that it relays. */
data class ActivitySummary(
    /** Requests in flight. */
    val loads: Map<BackendServerId, Occupancy> = emptyMap(),
    /** Recent outcomes of online requests. */
    val outcomes: Map<BackendServerId, ServerOutcomes> = emptyMap(),
    /** Recent output of backend servers. */
    val timings: Map<BackendServerId, ServerTimings> = emptyMap(),
    val usage: Map<CustomerId, CustomerUsage> = emptyMap(),
    /** Running batch jobs that were taken over from another node. */
    val takenOverJobs: List<String> = emptyList(),
    /** Batch jobs that were accepted in the last second, with the nodes that run them. */
    val acceptedJobs: Map<String, JobHolder> = emptyMap(),
    /** Prompts on which backend servers crashed. */
    val quarantineEvidence: QuarantineEvidence = QuarantineEvidence(),
    /** What backend servers said of the requests that they take. */
    val serverLimits: Map<BackendServerId, ServerLimitReport> = emptyMap(),
) {
    /** This summary with the ages of its reports after [millis] have passed. */
    fun aged(millis: Long) = copy(
        quarantineEvidence = quarantineEvidence.aged(millis),
        serverLimits = serverLimits.mapValues { (_, report) -> report.aged(millis) },
    )

    operator fun plus(others: List<ActivitySummary>): ActivitySummary {
        if (others.isEmpty()) return this
        val summaries = others + this
        return ActivitySummary(
            loads = sum(summaries, ActivitySummary::loads, Occupancy::plus),
            outcomes = sum(summaries, ActivitySummary::outcomes, ServerOutcomes::plus),
            timings = sum(summaries, ActivitySummary::timings, ServerTimings::plus),
            usage = sum(summaries, ActivitySummary::usage, CustomerUsage::plus),
            takenOverJobs = summaries.flatMap { it.takenOverJobs },
            acceptedJobs = sum(summaries, ActivitySummary::acceptedJobs) { first, _ -> first },
            quarantineEvidence = quarantineEvidence + others.map { it.quarantineEvidence },
            serverLimits = sum(summaries, ActivitySummary::serverLimits, ServerLimitReport::newer),
        )
    }

    private fun <K, V : Any> sum(
        summaries: List<ActivitySummary>,
        selector: (ActivitySummary) -> Map<K, V>,
        merge: (V, V) -> V,
    ): Map<K, V> {
        val sums = HashMap<K, V>()
        for (summary in summaries) for ((key, value) in selector(summary)) sums.merge(key, value, merge)
        return sums
    }
}
