package ragwortbarrow.core.fleet

import ragwortbarrow.core.allowance.CustomerUse
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.placement.Occupancy
import ragwortbarrow.core.placement.ServerOutcomes

/** What a node, or a relay together with the nodes behind it, does at the moment. Contributions add up. */
data class Contribution(
    /** Requests in flight. */
    val loads: Map<BackendServerId, Occupancy> = emptyMap(),
    /** How backend servers answered lately. */
    val outcomes: Map<BackendServerId, ServerOutcomes> = emptyMap(),
    val uses: Map<CustomerId, CustomerUse> = emptyMap(),
    /** Batch jobs that run here and were taken over from another node. */
    val takenJobs: List<String> = emptyList(),
    /** Batch jobs that were accepted in the last second, with the nodes that run them. */
    val acceptedJobs: Map<String, JobHolder> = emptyMap(),
) {
    operator fun plus(others: List<Contribution>): Contribution {
        if (others.isEmpty()) return this
        val all = others + this
        return Contribution(
            loads = sum(all, Contribution::loads, Occupancy::plus),
            outcomes = sum(all, Contribution::outcomes, ServerOutcomes::plus),
            uses = sum(all, Contribution::uses, CustomerUse::plus),
            takenJobs = all.flatMap { it.takenJobs },
            acceptedJobs = sum(all, Contribution::acceptedJobs) { first, _ -> first },
        )
    }

    private fun <K, V : Any> sum(
        all: List<Contribution>,
        part: (Contribution) -> Map<K, V>,
        add: (V, V) -> V,
    ): Map<K, V> {
        val sums = HashMap<K, V>()
        for (contribution in all) for ((key, value) in part(contribution)) sums.merge(key, value, add)
        return sums
    }
}
