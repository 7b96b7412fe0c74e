package ragwortbarrow.core.lease

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.limits.ShardLayout

/** The ownership of a shard as its accounts see it; valid only while [remainingMillis] is above zero. */
internal interface HeldLease {
    /** Names this ownership; grant ids carry it, so that two owners never give the same id. */
    val claimNumber: Long

    /** The fencing number of the record, which also grows when the owner needs a fresh promise. */
    val fencingNumber: Long

    /** Time left by the monotonic clock, already reduced by the round trip and the margin. */
    fun remainingMillis(): Long
}

/** Keeps the accounts of a shard while this node owns it. */
internal interface ShardHolder {
    /**
     * The shard is owned. The accounts start with [levelsPicotokens], which an owner that released the shard has
     * handed over, and refill after [refillDelayMillis].
     */
    fun onHeld(
        lease: HeldLease,
        layouts: List<ShardLayout>,
        levelsPicotokens: Map<CustomerId, Long>,
        refillDelayMillis: Long,
    )

    /** The accounts may use what all of [layouts] allow. */
    fun onLayouts(layouts: List<ShardLayout>)

    /** The shard is not owned any more. */
    fun onLost()

    /** Debits every account and returns what was in them. */
    fun drain(): Map<CustomerId, Long>
}
