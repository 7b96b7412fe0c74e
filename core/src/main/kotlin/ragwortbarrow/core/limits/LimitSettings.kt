package ragwortbarrow.core.limits

/**
 * Durations of leases, grants and calls. Owner and claimants use the same values, so a deployment must not mix them
 * without restarting every node of a failure domain.
 */
data class LimitSettings(
    /** How long one renewal of a shard's lease lasts, and how long a promise of the standby lasts. */
    val termMillis: Long = 6_000,
    val renewMillis: Long = 2_000,
    /** Subtracted by the holder and added by claimants; covers 5% difference in the speed of two clocks over a term. */
    val marginMillis: Long = 300,
    val grantValidityMillis: Long = 500,
    /** Added by the owner before it takes a grant as expired; covers 10% difference in the speed of two clocks. */
    val grantMarginMillis: Long = 50,
    val borrowPauseMillis: Long = 20,
    /** The longest an owner holds an answer back while it borrows. */
    val borrowDeadlineMillis: Long = 100,
    /** The longest an entry node waits for an owner; above [borrowDeadlineMillis] plus a round trip. */
    val callDeadlineMillis: Long = 200,
    /** An owner that did not answer is not asked again for this long. */
    val unreachablePauseMillis: Long = 1_000,
    /**
     * How long a request waits for an owner to answer before it is refused. Handing a shard over takes up to
     * [watchMillis] and two ticks, on processes that may have just started; below [termMillis], after which an owner
     * that died is replaced.
     */
    val admissionWaitMillis: Long = 5_000,
    /** Pause before a request asks the owners again. */
    val admissionRetryMillis: Long = 50,
    /** Settlements wait this long for the next acquire to the same owner before they are sent on their own. */
    val settleDelayMillis: Long = 10,
    val storeDeadlineMillis: Long = 1_500,
    val tickMillis: Long = 500,
    /** How often a standby or likely claimant reads the record. */
    val watchMillis: Long = 1_000,
    /** How much later each further candidate claims a shard that the preferred one has not claimed. */
    val claimStaggerMillis: Long = 2_000,
) {
    /** How long a claimant must see a record unchanged. */
    val claimWaitMillis: Long get() = termMillis + marginMillis

    /** Time from a debit until its grant has certainly expired. */
    val grantEndMillis: Long get() = grantValidityMillis + grantMarginMillis
}
