package ragwortbarrow.core.membership

/** Times and sizes of the gossip between nodes. */
data class MembershipSettings(
    val domainPeriodMillis: Long = 1_000,
    val crossDomainPeriodMillis: Long = 5_000,
    /** A member of the own failure domain whose heartbeat has not moved for this time is suspected. */
    val suspicionMillis: Long = 3_000,
    /**
     * The same for members of other failure domains. Their heartbeats come by the rarer exchanges between failure
     * domains; three periods of those keep a live member from being suspected between two of them.
     */
    val remoteSuspicionMillis: Long = 15_000,
    /** A member that is silent for this time is no longer passed on, so that it does not appear alive again. */
    val silenceMillis: Long = 60_000,
    /** A member that is silent for this time is forgotten; only its address stays as a contact. */
    val forgetMillis: Long = 600_000,
    val contactsPeriodMillis: Long = 60_000,
    /** Contacts are read again after this time as long as no other member is known. */
    val lonelyContactsPeriodMillis: Long = 2_000,
    /** Bounds a message: at 410 nodes a whole table would be 30 KB, four times a node's 7 KB/s. */
    val maxEntries: Int = 64,
    val maxShardOwners: Int = 8,
)
