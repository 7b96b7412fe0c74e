package ragwortbarrow.core.fleet

/** What a node tells another one a few times a second. */
data class NodeState(
    val sender: FleetNode,
    val isLeaving: Boolean,
    /** 0 while the node has no configuration. */
    val configurationVersion: Long,
    /** The platform's revision up to which the node has seen the backend servers. */
    val serversRevision: Long,
    /** Of the sender and of the nodes that it relays to the receiver. */
    val activity: ActivitySummary,
    /** Other members that the sender relays; left out of most reports, since members change seldom. */
    val members: List<MemberReport>,
    /** Batch jobs that were cancelled lately. */
    val cancelledJobs: List<String>,
    /** The receiver is the sender's relay: it tells the others of the sender, and the sender of all others. */
    val isRelayed: Boolean = false,
    /** A request waits for a slot that a batch item has, at the receiver or at a node that it relays. */
    val needsBatchSlot: Boolean = false,
    /** Whether the platform's store answers the sender. */
    val isStoreReachable: Boolean = true,
)

/** What a relay heard of a member [ageMillis] ago. */
data class MemberReport(val node: FleetNode, val ageMillis: Long, val isLeaving: Boolean)
