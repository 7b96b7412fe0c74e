package ragwortbarrow.core.lease

/** Why a shard may be claimed; with [mayLeaveGrants] the previous owner's grants may still be spent. */
internal enum class ClaimBasis(val mayLeaveGrants: Boolean) {
    /** The shard never had an owner. */
    FIRST(false),

    /** The record is unchanged for a term, and the standby consents; grants end before their lease. */
    CONSENT(false),

    /** The owner's VM runs a later process on the recorded address. */
    RESTART(true),

    /** The owner has released the shard. */
    RELEASE(true),

    /** An operator has confirmed the loss of owner and standby. */
    CONFIRMED_LOST(true),
}
