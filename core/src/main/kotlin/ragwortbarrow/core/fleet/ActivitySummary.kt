package ragwortbarrow.core.fleet

import ragwortbarrow.core.allowance.CustomerUsage
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.placement.Occupancy
import ragwortbarrow.core.placement.ServerOutcomes

/** What a node, or a relay together with the nodes behind it, does at the moment. Contributions add up. */
data class ActivitySummary(
    /** Requests in flight. */
    val loads: Map<BackendServerId, Occupancy> = emptyMap(),
    /** How backend servers answered lately. */
    val outcomes: Map<BackendServerId, ServerOutcomes> = emptyMap(),
    val usage: Map<CustomerId, CustomerUsage> = emptyMap(),
    /** Batch jobs that run here and were taken over from another node. */
    val takenOverJobs: List<String> = emptyList(),
    /** Batch jobs that were accepted in the last second, with the nodes that run them. */
    val acceptedJobs: Map<String, JobHolder> = emptyMap(),
) {
    operator fun plus(others: List<ActivitySummary>): ActivitySummary {
        if (others.isEmpty()) return this
        val all = others + this
        return ActivitySummary(
            loads = sum(all, ActivitySummary::loads, Occupancy::plus),
            outcomes = sum(all, ActivitySummary::outcomes, ServerOutcomes::plus),
            usage = sum(all, ActivitySummary::usage, CustomerUsage::plus),
            takenOverJobs = all.flatMap { it.takenOverJobs },
            acceptedJobs = sum(all, ActivitySummary::acceptedJobs) { first, _ -> first },
        )
    }

    private fun <K, V : Any> sum(
        all: List<ActivitySummary>,
        part: (ActivitySummary) -> Map<K, V>,
        add: (V, V) -> V,
    ): Map<K, V> {
        val sums = HashMap<K, V>()
        for (activity in all) for ((key, value) in part(activity)) sums.merge(key, value, add)
        return sums
    }
}
