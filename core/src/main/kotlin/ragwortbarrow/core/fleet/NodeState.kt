package ragwortbarrow.core.fleet

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.placement.Occupancy

/** What a node tells the others a few times a second. */
data class NodeState(
    val sender: FleetNode,
    val isLeaving: Boolean,
    /** 0 while the node has no configuration. */
    val configurationVersion: Long,
    /** The platform's revision up to which the node has seen the backend servers. */
    val serversRevision: Long,
    val loads: Map<BackendServerId, Occupancy>,
    /** Requests of each customer that the node admitted in the window of its rate. */
    val admitted: Map<CustomerId, Int>,
    /** Left out of most reports, since members change seldom. */
    val members: List<FleetNode>,
    /** Batch jobs that were cancelled lately. */
    val endedJobs: List<String>,
    /** Batch jobs that the node runs and took over from another one. */
    val takenJobs: List<String>,
    /** Batch jobs that the node accepted in the last second and runs. */
    val acceptedJobs: List<String>,
)
