package ragwortbarrow.core.fleet

/** The state that two nodes exchange a few times a second. */
data class NodeState(
    val sender: FleetNode,
    val isLeaving: Boolean,
    /** 0 if the sender has no configuration. */
    val configurationVersion: Long,
    /** Platform revision of the sender's list of backend servers. */
    val serversRevision: Long,
    /** The activity of the sender and of the nodes that it relays to the receiver. */
    val activity: ActivitySummary,
    /** Other members that the sender relays; omitted from most messages, because members rarely change. */
    val members: List<MemberReport>,
    /** Recently cancelled batch jobs. */
    val cancelledJobs: List<String>,
    /** Whether the receiver is the sender's relay, which exchanges states with the other nodes on its behalf. */
    val isRelayed: Boolean = false,
    /** Whether a request waits for a slot used by a batch item of the receiver or of a node that it relays. */
    val needsBatchSlot: Boolean = false,
    /** Whether the sender can reach the platform's store. */
    val isStoreReachable: Boolean = true,
    /** Platform revision of the last change of evacuations that the sender knows; 0 if it knows none. */
    val evacuationsRevision: Long = 0,
)

/** What a relay knows of a member, as of [ageMillis] ago. */
data class MemberReport(val node: FleetNode, val ageMillis: Long, val isLeaving: Boolean)
