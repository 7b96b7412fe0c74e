package ragwortbarrow.core.limits

import ragwortbarrow.core.limits.Share.Companion.PICOTOKENS_PER_TOKEN
import ragwortbarrow.core.time.NANOS_PER_MILLI

/**
 * Token bucket of one customer in one failure domain. It also tracks the grants that other nodes may still spend.
 *
 * The level plus the outstanding grants never exceeds the burst; refill stops at that limit. Tokens spent in any
 * interval were therefore either in the bucket at its start (at most the burst) or refilled during it. Changes are
 * applied in chronological order: a grant that expired between two calls limits refill only until its expiry.
 *
 * Not thread-safe; callers synchronize on the bucket. Times are readings of the owner's monotonic clock.
 */
internal open class TokenBucket(
    share: Share,
    startNanos: Long,
    initialLevelPicotokens: Long = 0,
    private val onExpired: (Long) -> Unit = {},
) {
    protected var share: Share = share
        private set
    protected var levelPicotokens: Long = initialLevelPicotokens.coerceIn(0, share.burstPicotokens)
    protected var outstandingPicotokens: Long = 0
        private set
    private var refilledToNanos = startNanos
    private val grants = LinkedHashMap<Long, Grant>()

    private class Grant(val picotokens: Long, val endNanos: Long)

    fun levelTokens(nowNanos: Long): Int {
        advanceTo(nowNanos)
        return (levelPicotokens / PICOTOKENS_PER_TOKEN).toInt()
    }

    /** Takes up to [tokens] for immediate use and returns how many were taken. */
    open fun take(tokens: Int, nowNanos: Long): Int {
        val taken = minOf(tokens, levelTokens(nowNanos)).coerceAtLeast(0)
        levelPicotokens -= taken * PICOTOKENS_PER_TOKEN
        return taken
    }

    /** The level, rounded down to thousandths of a token. */
    fun levelMillitokens(nowNanos: Long): Int {
        advanceTo(nowNanos)
        return (levelPicotokens / PICOTOKENS_PER_MILLITOKEN).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
    }

    /**
     * Debits up to [millitokens], in multiples of [step], and returns the debited amount. It stays outstanding under
     * [grantId] until the grant is released or [endNanos] is reached. A grant that is already outstanding is increased
     * and keeps its expiry.
     */
    open fun grant(grantId: Long, millitokens: Int, step: Int, nowNanos: Long, endNanos: Long): Int {
        val taken = minOf(millitokens, levelMillitokens(nowNanos)) / step * step
        levelPicotokens -= taken * PICOTOKENS_PER_MILLITOKEN
        outstandingPicotokens += taken * PICOTOKENS_PER_MILLITOKEN
        val before = grants[grantId]
        grants[grantId] =
            Grant(taken * PICOTOKENS_PER_MILLITOKEN + (before?.picotokens ?: 0), before?.endNanos ?: endNanos)
        return taken
    }

    /** Ends a grant and adds its [unspentMillitokens] back to the level. Unknown and expired grants are ignored. */
    open fun releaseGrant(grantId: Long, unspentMillitokens: Int, nowNanos: Long) {
        advanceTo(nowNanos)
        val grant = grants.remove(grantId) ?: return
        outstandingPicotokens -= grant.picotokens
        levelPicotokens += (unspentMillitokens * PICOTOKENS_PER_MILLITOKEN).coerceIn(0, grant.picotokens)
        levelPicotokens = levelPicotokens.coerceAtMost((share.burstPicotokens - outstandingPicotokens).coerceAtLeast(0))
    }

    /**
     * Adds tokens that another bucket of the customer has debited permanently, up to this bucket's limit, and returns
     * how many were added. Moving tokens between buckets leaves the customer's total unchanged. After the credit,
     * [isStillOutstanding] tells whether the other bucket still counts them as outstanding; if not, they are dropped.
     */
    fun credit(millitokens: Int, nowNanos: Long, isStillOutstanding: () -> Boolean): Int {
        advanceTo(nowNanos)
        val taken = minOf(
            millitokens,
            (headroomPicotokens() / PICOTOKENS_PER_MILLITOKEN).coerceAtMost(Int.MAX_VALUE.toLong()).toInt(),
        )
        levelPicotokens += taken * PICOTOKENS_PER_MILLITOKEN
        if (isStillOutstanding()) return taken
        levelPicotokens -= taken * PICOTOKENS_PER_MILLITOKEN
        return 0
    }

    /** Applies [newShare] immediately; tokens above the new burst are dropped. */
    fun updateShare(newShare: Share, nowNanos: Long) {
        advanceTo(nowNanos)
        share = newShare
        levelPicotokens =
            levelPicotokens.coerceAtMost((newShare.burstPicotokens - outstandingPicotokens).coerceAtLeast(0))
    }

    /** Empties the bucket and returns the previous level in picotokens. */
    fun drain(nowNanos: Long): Long {
        advanceTo(nowNanos)
        return levelPicotokens.also { levelPicotokens = 0 }
    }

    /** Time until the bucket holds a whole token, provided that nothing is taken or returned before. */
    fun millisUntilToken(nowNanos: Long): Long {
        advanceTo(nowNanos)
        val rate = share.rateMicrotokensPerSecond
        if (levelPicotokens >= PICOTOKENS_PER_TOKEN) return 0
        if (rate == 0L) return MAX_RETRY_MILLIS
        return ((PICOTOKENS_PER_TOKEN - levelPicotokens) / rate / 1_000 + 1).coerceAtMost(MAX_RETRY_MILLIS)
    }

    /** Expires grants and refills the bucket up to [nowNanos]. */
    private fun advanceTo(nowNanos: Long) {
        while (true) {
            val (grantId, grant) = grants.entries.firstOrNull()?.takeIf { it.value.endNanos <= nowNanos } ?: break
            refillTo(grant.endNanos)
            grants.remove(grantId)
            outstandingPicotokens -= grant.picotokens
            onExpired(grantId)
        }
        refillTo(nowNanos)
    }

    /** How much can be added until the level plus the outstanding grants reaches the burst. */
    protected open fun headroomPicotokens(): Long =
        (share.burstPicotokens - outstandingPicotokens - levelPicotokens).coerceAtLeast(0)

    private fun refillTo(nanos: Long) {
        val micros = (nanos - refilledToNanos) / NANOS_PER_MICRO
        if (micros <= 0) return
        refilledToNanos += micros * NANOS_PER_MICRO
        val rate = share.rateMicrotokensPerSecond
        if (rate == 0L) return
        val headroom = headroomPicotokens()
        levelPicotokens += if (micros > headroom / rate) headroom else minOf(headroom, micros * rate)
    }

    private companion object {
        const val NANOS_PER_MICRO = NANOS_PER_MILLI / 1_000
        const val PICOTOKENS_PER_MILLITOKEN = PICOTOKENS_PER_TOKEN / 1_000
        const val MAX_RETRY_MILLIS = 60_000L
    }
}

/** Creates buckets when a shard is claimed or a customer is added. */
internal fun interface TokenBucketFactory {
    fun create(share: Share, startNanos: Long, initialLevelPicotokens: Long, onExpired: (Long) -> Unit): TokenBucket
}
