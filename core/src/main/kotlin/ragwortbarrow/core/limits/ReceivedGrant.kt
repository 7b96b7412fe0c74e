package ragwortbarrow.core.limits

import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.time.TimerService

/**
 * A grant on the requesting side. Several requests may use parts of it; it is reported to the owner once every part is
 * released. Amounts are in tokens, or in millitokens if one owner lends to another. The tokens of a part that is never
 * released are lost when the grant expires at the owner.
 */
internal class ReceivedGrant(
    private val grantId: Long,
    private val shard: LimitShardId,
    private val fencingNumber: Long,
    private var outstandingAmount: Int,
    private val expiresNanos: Long,
    private val grantReporter: GrantReporter,
) {
    private var unspentAmount = 0

    /** Whether the validity, counted from when the request for the grant was sent, has not ended. */
    fun isValid(timer: TimerService): Boolean = expiresNanos - timer.nanoTime() > 0

    fun remainingNanos(timer: TimerService): Long = expiresNanos - timer.nanoTime()

    /** Releases [amount] of the grant, of which [unspent] were not used and will not be used later. */
    fun release(amount: Int, unspent: Int) {
        if (amount == 0) return
        val isFullyReleased = synchronized(this) {
            outstandingAmount -= amount
            unspentAmount += unspent
            outstandingAmount <= 0
        }
        if (isFullyReleased) grantReporter.add(shard, fencingNumber, grantId, unspentAmount)
    }
}
