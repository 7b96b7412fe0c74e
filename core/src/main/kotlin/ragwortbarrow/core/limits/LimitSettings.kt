package ragwortbarrow.core.limits

/**
 * Durations of leases, grants and calls. Owners and claimants must use the same values, so a change requires a restart
 * of every node of a failure domain.
 */
data class LimitSettings(
    /** Duration of a shard lease after a renewal, and of a standby's promise. */
    val termMillis: Long = 6_000,
    val renewMillis: Long = 2_000,
    /** Subtracted by the holder and added by claimants; covers a clock rate difference of 5% over a term. */
    val clockMarginMillis: Long = 300,
    val grantValidityMillis: Long = 500,
    /** Added by the owner before it treats a grant as expired; covers a clock rate difference of 10%. */
    val grantMarginMillis: Long = 50,
    /** How long a bucket does not borrow again after a borrow that got less than requested. */
    val borrowBackoffMillis: Long = 20,
    /** How long an owner may delay an answer while it borrows. */
    val borrowTimeoutMillis: Long = 100,
    /** How long a node waits for an owner's answer; more than [borrowTimeoutMillis] plus a round trip. */
    val callTimeoutMillis: Long = 200,
    /** How long an owner is not asked again after a failed call. */
    val unreachableBackoffMillis: Long = 1_000,
    /**
     * How long a request waits for an owner before it is refused. A handover of a shard takes up to
     * [readIntervalMillis] plus two ticks, possibly on processes that have just started. Less than [termMillis], after
     * which a failed owner is replaced.
     */
    val admissionWaitMillis: Long = 5_000,
    /** Delay before a waiting request asks the owners again. */
    val admissionRetryMillis: Long = 50,
    /** How long reports of released grants wait for an acquire to the same owner before they are sent separately. */
    val reportDelayMillis: Long = 10,
    val storeTimeoutMillis: Long = 1_500,
    val tickMillis: Long = 500,
    /** How often a standby or a likely claimant reads the lease record. */
    val readIntervalMillis: Long = 1_000,
    /** Additional delay before each next-ranked candidate claims a shard that has not been claimed. */
    val claimStaggerMillis: Long = 2_000,
) {
    /** How long a claimant must observe an unchanged record. */
    val claimWaitMillis: Long get() = termMillis + clockMarginMillis

    /** Time after a debit by which its grant has certainly expired. */
    val grantEndMillis: Long get() = grantValidityMillis + grantMarginMillis
}
