package ragwortbarrow.core.limits

import ragwortbarrow.core.limits.Share.Companion.TOKEN
import ragwortbarrow.core.time.NANOS_PER_MILLI

/**
 * Token bucket of one customer in one failure domain, with the grants that may still be spent elsewhere.
 *
 * Level plus outstanding grants never exceed the burst, and refill stops at that bound. Whatever is spent in an
 * interval was therefore either in the account at its start (at most the burst) or refilled during it. Changes are
 * applied in the order of their time: a grant that expired between two calls holds back refill up to its expiry only.
 *
 * Not thread-safe; callers synchronize on the account. Times are those of the owner's monotonic clock.
 */
internal open class Account(
    share: Share,
    startNanos: Long,
    levelPicotokens: Long = 0,
    private val onExpired: (Long) -> Unit = {},
) {
    protected var share: Share = share
        private set
    protected var level: Long = levelPicotokens.coerceIn(0, share.burstPicotokens)
    protected var outstanding: Long = 0
        private set
    private var refilledToNanos = startNanos
    private val grants = LinkedHashMap<Long, Grant>()

    private class Grant(val amount: Long, val endNanos: Long)

    fun levelTokens(nowNanos: Long): Int {
        advance(nowNanos)
        return (level / TOKEN).toInt()
    }

    /** Takes up to [tokens] that are spent at once. */
    open fun take(tokens: Int, nowNanos: Long): Int {
        val taken = minOf(tokens, levelTokens(nowNanos)).coerceAtLeast(0)
        level -= taken * TOKEN
        return taken
    }

    /** What is in the account, in whole thousandths of a token. */
    fun levelMillitokens(nowNanos: Long): Int {
        advance(nowNanos)
        return (level / MILLITOKEN).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
    }

    /**
     * Debits up to [millitokens], in multiples of [step], and keeps them outstanding under [grantId] until settled or
     * [endNanos]. A grant that is outstanding already grows and keeps its end.
     */
    open fun grant(grantId: Long, millitokens: Int, step: Int, nowNanos: Long, endNanos: Long): Int {
        val taken = minOf(millitokens, levelMillitokens(nowNanos)) / step * step
        level -= taken * MILLITOKEN
        outstanding += taken * MILLITOKEN
        val before = grants[grantId]
        grants[grantId] = Grant(taken * MILLITOKEN + (before?.amount ?: 0), before?.endNanos ?: endNanos)
        return taken
    }

    /** Ends a grant of which [unspentMillitokens] go back to the level; an unknown or expired one changes nothing. */
    open fun settle(grantId: Long, unspentMillitokens: Int, nowNanos: Long) {
        advance(nowNanos)
        val grant = grants.remove(grantId) ?: return
        outstanding -= grant.amount
        level += (unspentMillitokens * MILLITOKEN).coerceIn(0, grant.amount)
        level = level.coerceAtMost((share.burstPicotokens - outstanding).coerceAtLeast(0))
    }

    /**
     * Takes over tokens that another account of the customer has debited for good, and returns how many. Within the
     * bound of this account, moving tokens changes no sum. [isStillHeld] tells, after the credit, whether the other
     * account still counts them as outstanding; if not, they are dropped.
     */
    fun credit(millitokens: Int, nowNanos: Long, isStillHeld: () -> Boolean): Int {
        advance(nowNanos)
        val taken = minOf(millitokens, (room() / MILLITOKEN).coerceAtMost(Int.MAX_VALUE.toLong()).toInt())
        level += taken * MILLITOKEN
        if (isStillHeld()) return taken
        level -= taken * MILLITOKEN
        return 0
    }

    /** Takes [newShare] into force at once; what is above the new burst is dropped. */
    fun change(newShare: Share, nowNanos: Long) {
        advance(nowNanos)
        share = newShare
        level = level.coerceAtMost((newShare.burstPicotokens - outstanding).coerceAtLeast(0))
    }

    /** Debits the whole level and returns it in picotokens. */
    fun drain(nowNanos: Long): Long {
        advance(nowNanos)
        return level.also { level = 0 }
    }

    /** Time until the level reaches a whole token if nothing is taken or settled before. */
    fun millisUntilToken(nowNanos: Long): Long {
        advance(nowNanos)
        val rate = share.rateMicrotokensPerSecond
        if (level >= TOKEN) return 0
        if (rate == 0L) return MAX_RETRY_MILLIS
        return ((TOKEN - level) / rate / 1_000 + 1).coerceAtMost(MAX_RETRY_MILLIS)
    }

    private fun advance(nowNanos: Long) {
        while (true) {
            val (grantId, grant) = grants.entries.firstOrNull()?.takeIf { it.value.endNanos <= nowNanos } ?: break
            refillTo(grant.endNanos)
            grants.remove(grantId)
            outstanding -= grant.amount
            onExpired(grantId)
        }
        refillTo(nowNanos)
    }

    protected open fun room(): Long = (share.burstPicotokens - outstanding - level).coerceAtLeast(0)

    private fun refillTo(nanos: Long) {
        val micros = (nanos - refilledToNanos) / NANOS_PER_MICRO
        if (micros <= 0) return
        refilledToNanos += micros * NANOS_PER_MICRO
        val rate = share.rateMicrotokensPerSecond
        if (rate == 0L) return
        val room = room()
        level += if (micros > room / rate) room else minOf(room, micros * rate)
    }

    private companion object {
        const val NANOS_PER_MICRO = NANOS_PER_MILLI / 1_000
        const val MILLITOKEN = TOKEN / 1_000
        const val MAX_RETRY_MILLIS = 60_000L
    }
}

/** Makes the account of a shard that was just claimed or of a customer that is new. */
internal fun interface AccountFactory {
    fun create(share: Share, startNanos: Long, levelPicotokens: Long, onExpired: (Long) -> Unit): Account
}
