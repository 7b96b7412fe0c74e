package ragwortbarrow.core.membership

/** Intervals, timeouts and message limits of the gossip between nodes. */
data class MembershipSettings(
    val domainPeriodMillis: Long = 1_000,
    val crossDomainPeriodMillis: Long = 5_000,
    /** A member of the own failure domain is suspected if its heartbeat has not advanced for this long. */
    val suspicionMillis: Long = 3_000,
    /**
     * The same for members of other failure domains, whose heartbeats arrive with the less frequent exchanges between
     * failure domains. Three periods, so that a live member is not suspected between two exchanges.
     */
    val remoteSuspicionMillis: Long = 15_000,
    /** A member without a new heartbeat for this long is not sent to others, so that it does not appear live again. */
    val maxForwardAgeMillis: Long = 60_000,
    /** A member without a new heartbeat for this long is removed; its address may remain as a seed node. */
    val removalMillis: Long = 600_000,
    val seedNodesPeriodMillis: Long = 60_000,
    /** The interval at which seed nodes are read while no other member is live. */
    val isolatedSeedNodesPeriodMillis: Long = 2_000,
    /** Limits the message size: with 410 nodes the entire table takes 30 KB, four times the 7 KB/s of a node. */
    val maxEntries: Int = 64,
    val maxShardOwners: Int = 8,
)
