package ragwortbarrow.core.jobs

import ragwortbarrow.core.traffic.Route
import ragwortbarrow.core.traffic.RoutingTable

/** What a node knows of the route of a batch job. */
sealed interface JobRouteState {
    data class Known(val route: Route) : JobRouteState

    /** The node has no configuration yet, or one in which the route may not have been added yet. The job waits. */
    data object Undetermined : JobRouteState

    /** The route was removed: its job's items will never run. */
    data object Removed : JobRouteState
}

/**
 * The route of [job] in the configurations that a node gets, whose versions never decrease. A node that has just
 * started may have none, or one that is older than the job.
 */
class JobRoute(private val job: BatchJob) {
    /** The newest version that is known to have the route; null if a job of an earlier release names none. */
    private var newestVersion: Long? = job.configurationVersion

    /** The route as last seen; null until a configuration has it. */
    var lastKnown: Route? = null
        private set

    fun state(table: RoutingTable?): JobRouteState {
        if (table == null) return JobRouteState.Undetermined
        val route = table.route(job.host, job.path)
        if (route != null) {
            lastKnown = route
            newestVersion = maxOf(newestVersion ?: 0, table.version)
            return JobRouteState.Known(route)
        }
        val isRemoved = newestVersion?.let { table.version >= it } ?: false
        return if (isRemoved) JobRouteState.Removed else JobRouteState.Undetermined
    }
}
