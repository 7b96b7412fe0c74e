package ragwortbarrow.core.limits

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.lease.LeaseHandle
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The buckets and grants of a shard during one period of ownership. */
internal class OwnedShard(
    val shard: LimitShardId,
    val lease: LeaseHandle,
    private val timer: TimerService,
    private val settings: LimitSettings,
    private val bucketFactory: TokenBucketFactory,
    private val createBorrower: (CustomerId, TokenBucket) -> Borrower,
) {
    /** A bucket and the borrower that borrows for it. */
    class BucketEntry(val bucket: TokenBucket, val borrower: Borrower)

    /** A grant issued to another node, in units of [unit] millitokens: debited from the bucket or borrowed for it. */
    private class IssuedGrant(
        val bucket: TokenBucket,
        val unit: Int,
        val ownMillitokens: Int,
        val borrowed: List<BorrowedPart> = emptyList(),
    )

    private val entries = ConcurrentHashMap<CustomerId, BucketEntry>()
    private val issuedGrants = ConcurrentHashMap<Long, IssuedGrant>()

    // Ids contain the claim number, so that a report for a previous owner's grant cannot release a grant of this owner.
    private val grantIds = AtomicLong(lease.claimNumber shl GRANT_ID_BITS)

    fun entry(customer: CustomerId): BucketEntry? = entries[customer]

    /**
     * Creates, updates and removes buckets according to [customers] and [layouts]. A new bucket starts with the level
     * in [levelsPicotokens], or empty. It starts to refill after [refillDelayMillis], by default once all grants of a
     * previous bucket of the same customer have expired.
     */
    fun configure(
        customers: Map<CustomerId, Customer>,
        layouts: List<ShardLayout>,
        levelsPicotokens: Map<CustomerId, Long> = emptyMap(),
        refillDelayMillis: Long = settings.grantEndMillis,
    ) {
        entries.keys.retainAll(customers.keys)
        for ((id, customer) in customers) {
            val share = layouts.map { it.shareOf(customer, shard) }.reduce(Share::coerceAtMost)
            val entry = entries[id]
            if (entry == null) {
                val startNanos = timer.nanoTime() + refillDelayMillis * NANOS_PER_MILLI
                val bucket =
                    bucketFactory.create(share, startNanos, levelsPicotokens[id] ?: 0) { issuedGrants.remove(it) }
                entries[id] = BucketEntry(bucket, createBorrower(id, bucket))
            } else {
                synchronized(entry.bucket) { entry.bucket.updateShare(share, timer.nanoTime()) }
            }
        }
    }

    /** Takes a token for immediate use; returns false if there is none or the lease has ended. */
    fun takeOne(customer: CustomerId): Boolean {
        val bucket = entries[customer]?.bucket ?: return false
        return synchronized(bucket) { lease.remainingMillis() > 0 && bucket.take(1, timer.nanoTime()) == 1 }
    }

    /**
     * Debits up to [amount] units of [unit] millitokens for a grant whose validity does not exceed the remaining lease.
     * Returns null if the lease has ended.
     */
    fun debit(entry: BucketEntry, amount: Int, unit: Int): Debit? = synchronized(entry.bucket) {
        val validityMillis = minOf(settings.grantValidityMillis, lease.remainingMillis())
        if (validityMillis <= 0) return null
        val nowNanos = timer.nanoTime()
        val grantId = grantIds.incrementAndGet()
        val taken = entry.bucket.grant(grantId, amount * unit, unit, nowNanos, endNanos(nowNanos, validityMillis))
        issuedGrants[grantId] = IssuedGrant(entry.bucket, unit, taken)
        Debit(grantId, taken / unit, validityMillis)
    }

    data class Debit(val grantId: Long, val amount: Int, val validityMillis: Long)

    /**
     * Adds [borrowed] parts to a grant that has not been sent yet, and millitokens of the bucket to complete whole
     * tokens. Returns the number of added tokens. Borrowed millitokens beyond them are credited to the bucket.
     */
    fun extendGrant(entry: BucketEntry, debit: Debit, missingTokens: Int, borrowed: List<BorrowedPart>): Int {
        val bucket = entry.bucket
        val borrowedMillitokens = borrowed.sumOf { it.millitokens }
        val added = synchronized(bucket) {
            val nowNanos = timer.nanoTime()
            val tokens = minOf(
                missingTokens,
                (borrowedMillitokens + bucket.levelMillitokens(nowNanos)) / MILLITOKENS_PER_TOKEN,
            )
            val fromBucket = (tokens * MILLITOKENS_PER_TOKEN - borrowedMillitokens).coerceAtLeast(0)
            val endNanos = endNanos(nowNanos, debit.validityMillis)
            val taken = bucket.grant(debit.grantId, fromBucket, step = 1, nowNanos, endNanos)
            val before = issuedGrants[debit.grantId]?.ownMillitokens ?: 0
            issuedGrants[debit.grantId] = IssuedGrant(bucket, MILLITOKENS_PER_TOKEN, before + taken, borrowed)
            tokens
        }
        creditSurplus(bucket, debit.grantId, borrowed, borrowedMillitokens - added * MILLITOKENS_PER_TOKEN)
        return added
    }

    private fun creditSurplus(bucket: TokenBucket, grantId: Long, borrowed: List<BorrowedPart>, surplus: Int) {
        if (surplus <= 0) return
        var remaining = surplus
        val kept = borrowed.map { part ->
            val moved = minOf(remaining, part.millitokens).also { remaining -= it }
            val taken = synchronized(bucket) {
                bucket.credit(moved, timer.nanoTime()) { part.grant.isValid(timer) }
            }
            part.grant.release(moved, unspent = moved - taken)
            BorrowedPart(part.grant, part.millitokens - moved)
        }
        issuedGrants.computeIfPresent(grantId) { _, before ->
            IssuedGrant(bucket, before.unit, before.ownMillitokens, kept)
        }
    }

    private fun endNanos(nowNanos: Long, validityMillis: Long) =
        nowNanos + (validityMillis + settings.grantMarginMillis) * NANOS_PER_MILLI

    /**
     * Ends a grant. [unspent], in units of the grant, is returned to the bucket up to the amount debited from it, and
     * the remainder to the lenders.
     */
    fun releaseGrant(grantId: Long, unspent: Int) {
        val grant = issuedGrants.remove(grantId) ?: return
        val unspentMillitokens = unspent.coerceIn(0, MAX_GRANT_AMOUNT) * grant.unit
        val ownUnspent = minOf(unspentMillitokens, grant.ownMillitokens)
        synchronized(grant.bucket) { grant.bucket.releaseGrant(grantId, ownUnspent, timer.nanoTime()) }
        var remaining = unspentMillitokens - ownUnspent
        for (part in grant.borrowed) {
            val returned = minOf(remaining, part.millitokens)
            part.grant.release(part.millitokens, returned)
            remaining -= returned
        }
    }

    /** Empties every bucket and returns the levels above zero in picotokens. */
    fun drain(): Map<CustomerId, Long> = entries.mapValues { (_, entry) ->
        synchronized(entry.bucket) { entry.bucket.drain(timer.nanoTime()) }
    }.filterValues { it > 0 }

    companion object {
        /** Owners lend to each other in millitokens. */
        const val MILLITOKENS_PER_TOKEN = 1_000

        /** Larger amounts in one request would overflow an Int of millitokens. */
        const val MAX_GRANT_AMOUNT = 1_000_000
        private const val GRANT_ID_BITS = 36
    }
}
