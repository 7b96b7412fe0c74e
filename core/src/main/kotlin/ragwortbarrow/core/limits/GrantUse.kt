package ragwortbarrow.core.limits

import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.time.TimerService

/**
 * A grant as its asker uses it: several requests may spend parts of it, and it is settled with the owner after the
 * last part has ended. A part that nobody settles is lost when the grant expires at the owner.
 */
internal class GrantUse(
    private val grantId: Long,
    private val shard: LimitShardId,
    private val fencingNumber: Long,
    private var openTokens: Int,
    private val expiresNanos: Long,
    private val outbox: SettlementOutbox,
) {
    private var unspentTokens = 0

    /** Counted from the instant the request for the grant was sent. */
    fun isValid(timer: TimerService): Boolean = expiresNanos - timer.nanoTime() > 0

    fun remainingNanos(timer: TimerService): Long = expiresNanos - timer.nanoTime()

    /** Ends [tokens] of the grant, of which [unspent] were not used and never will be. */
    fun settle(tokens: Int, unspent: Int) {
        val settled = synchronized(this) {
            openTokens -= tokens
            unspentTokens += unspent
            openTokens <= 0
        }
        if (settled) outbox.add(shard, fencingNumber, grantId, unspentTokens)
    }
}
