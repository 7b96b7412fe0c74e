package ragwortbarrow.core.limits

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.lease.HeldLease
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The accounts and grants of a shard during one ownership. */
internal class OwnedShard(
    val shard: LimitShardId,
    val lease: HeldLease,
    private val timer: TimerService,
    private val settings: LimitSettings,
    private val accountFactory: AccountFactory,
    private val borrowerOf: (CustomerId) -> Borrower,
) {
    /** An account with its way to borrow. */
    class Entry(val account: Account, val borrower: Borrower)

    /** A grant given to an asker: tokens of the account and tokens borrowed for it. */
    private class Given(val account: Account, val ownTokens: Int, val borrowed: List<BorrowedPart>)

    private val entries = ConcurrentHashMap<CustomerId, Entry>()
    private val given = ConcurrentHashMap<Long, Given>()

    // Ids contain the claim, so that a report for an earlier owner's grant settles nothing here.
    private val grantIds = AtomicLong(lease.claimNumber shl GRANT_ID_BITS)

    fun entry(customer: CustomerId): Entry? = entries[customer]

    /**
     * Opens, changes and closes accounts as [customers] and [layouts] say. A new account starts empty, and
     * refills after the grants of an account that this customer may have had before have expired.
     */
    fun configure(
        customers: Map<CustomerId, Customer>,
        layouts: List<ShardLayout>,
        levelsPicotokens: Map<CustomerId, Long> = emptyMap(),
        refillDelayMillis: Long = settings.grantEndMillis,
    ) {
        entries.keys.retainAll(customers.keys)
        for ((id, customer) in customers) {
            val share = layouts.map { it.shareOf(customer, shard) }.reduce(Share::atMost)
            val entry = entries[id]
            if (entry == null) {
                val startNanos = timer.nanoTime() + refillDelayMillis * NANOS_PER_MILLI
                val account = accountFactory.create(share, startNanos, levelsPicotokens[id] ?: 0) { given.remove(it) }
                entries[id] = Entry(account, borrowerOf(id))
            } else {
                synchronized(entry.account) { entry.account.change(share, timer.nanoTime()) }
            }
        }
    }

    /** Takes a token that is spent at once; false when there is none or the lease has ended. */
    fun takeOne(customer: CustomerId): Boolean {
        val account = entries[customer]?.account ?: return false
        return synchronized(account) { lease.remainingMillis() > 0 && account.take(1, timer.nanoTime()) == 1 }
    }

    /** Debits up to [tokens] for [validityMillis] at most and returns the id and the tokens, or null without a lease. */
    fun debit(entry: Entry, tokens: Int): Debit? = synchronized(entry.account) {
        val validityMillis = minOf(settings.grantValidityMillis, lease.remainingMillis())
        if (validityMillis <= 0) return null
        val nowNanos = timer.nanoTime()
        val grantId = grantIds.incrementAndGet()
        val endNanos = nowNanos + (validityMillis + settings.grantMarginMillis) * NANOS_PER_MILLI
        val taken = entry.account.grant(grantId, tokens, nowNanos, endNanos)
        given[grantId] = Given(entry.account, taken, emptyList())
        Debit(grantId, taken, validityMillis)
    }

    data class Debit(val grantId: Long, val tokens: Int, val validityMillis: Long)

    /** Adds borrowed tokens to a grant that has not been sent yet. */
    fun attach(grantId: Long, borrowed: List<BorrowedPart>) {
        given.computeIfPresent(grantId) { _, before -> Given(before.account, before.ownTokens, borrowed) }
    }

    /** Ends a grant; unspent tokens go back to the account first and then to the lenders. */
    fun settle(grantId: Long, unspentTokens: Int) {
        val grant = given.remove(grantId) ?: return
        val ownUnspent = minOf(unspentTokens, grant.ownTokens)
        synchronized(grant.account) { grant.account.settle(grantId, ownUnspent, timer.nanoTime()) }
        var rest = unspentTokens - ownUnspent
        for (part in grant.borrowed) {
            val unspent = minOf(rest, part.tokens)
            part.use.settle(part.tokens, unspent)
            rest -= unspent
        }
    }

    /** Debits every account. */
    fun drain(): Map<CustomerId, Long> = entries.mapValues { (_, entry) ->
        synchronized(entry.account) { entry.account.drain(timer.nanoTime()) }
    }.filterValues { it > 0 }

    private companion object {
        const val GRANT_ID_BITS = 36
    }
}
