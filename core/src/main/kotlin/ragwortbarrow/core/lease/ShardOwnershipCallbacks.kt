package ragwortbarrow.core.lease

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.limits.ShardLayout

/** One period of ownership of a shard; valid only while [remainingMillis] is above zero. */
internal interface LeaseHandle {
    /** Identifies this ownership. Grant ids contain it, so that two owners never issue the same id. */
    val claimNumber: Long

    /** The fencing number of the record; also increased when the owner needs a new promise of its standby. */
    val fencingNumber: Long

    /** Remaining time on the monotonic clock, less the round trip and the safety margin. */
    fun remainingMillis(): Long
}

/** Called when this node acquires, hands over or loses a shard. */
internal interface ShardOwnershipCallbacks {
    /**
     * This node now owns the shard. The buckets start with [levelsPicotokens], handed over by a previous owner that
     * released the shard, and refill after [refillDelayMillis].
     */
    fun onAcquired(
        lease: LeaseHandle,
        layouts: List<ShardLayout>,
        levelsPicotokens: Map<CustomerId, Long>,
        refillDelayMillis: Long,
    )

    /** Each bucket may use the smallest share that any of [layouts] gives it. */
    fun onLayoutsChanged(layouts: List<ShardLayout>)

    /** This node no longer owns the shard. */
    fun onLost()

    /** Empties every bucket and returns the previous levels in picotokens. */
    fun drain(): Map<CustomerId, Long>
}
