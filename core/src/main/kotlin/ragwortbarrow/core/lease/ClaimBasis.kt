package ragwortbarrow.core.lease

/** Why a shard may be claimed. With [mayHaveOutstandingGrants], grants of the previous owner may still be spent. */
internal enum class ClaimBasis(val mayHaveOutstandingGrants: Boolean) {
    /** The shard never had an owner. */
    FIRST(false),

    /** The record has not changed for a term, and the standby consents. Grants expire before their lease. */
    CONSENT(false),

    /** The owner's VM runs a newer process on the recorded address. */
    RESTART(true),

    /** The owner has released the shard. */
    RELEASE(true),

    /** An operator has confirmed that the owner and the standby are lost. */
    CONFIRMED_LOST(true),
}
