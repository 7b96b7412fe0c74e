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
    private val borrowerOf: (CustomerId, Account) -> Borrower,
) {
    /** An account with its way to borrow. */
    class Entry(val account: Account, val borrower: Borrower)

    /** A grant given to an asker, counted in units of [unit]: from the account itself and borrowed for it. */
    private class Given(
        val account: Account,
        val unit: Int,
        val ownMillitokens: Int,
        val borrowed: List<BorrowedPart> = emptyList(),
    )

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
                entries[id] = Entry(account, borrowerOf(id, account))
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

    /**
     * Debits up to [amount] units of [unit] thousandths of a token, valid for as long as the lease allows, or returns
     * null without a lease.
     */
    fun debit(entry: Entry, amount: Int, unit: Int): Debit? = synchronized(entry.account) {
        val validityMillis = minOf(settings.grantValidityMillis, lease.remainingMillis())
        if (validityMillis <= 0) return null
        val nowNanos = timer.nanoTime()
        val grantId = grantIds.incrementAndGet()
        val taken = entry.account.grant(grantId, amount * unit, unit, nowNanos, endNanos(nowNanos, validityMillis))
        given[grantId] = Given(entry.account, unit, taken)
        Debit(grantId, taken / unit, validityMillis)
    }

    data class Debit(val grantId: Long, val amount: Int, val validityMillis: Long)

    /**
     * Adds borrowed parts to a grant that has not been sent yet, and from the account what is missing to whole tokens.
     * Returns the added tokens. Borrowed thousandths beyond them go into the account.
     */
    fun extend(entry: Entry, debit: Debit, missingTokens: Int, borrowed: List<BorrowedPart>): Int {
        val account = entry.account
        val lent = borrowed.sumOf { it.millitokens }
        val added = synchronized(account) {
            val nowNanos = timer.nanoTime()
            val tokens = minOf(missingTokens, (lent + account.levelMillitokens(nowNanos)) / TOKEN_MILLITOKENS)
            val own = (tokens * TOKEN_MILLITOKENS - lent).coerceAtLeast(0)
            val endNanos = endNanos(nowNanos, debit.validityMillis)
            val taken = account.grant(debit.grantId, own, step = 1, nowNanos, endNanos)
            val before = given[debit.grantId]?.ownMillitokens ?: 0
            given[debit.grantId] = Given(account, TOKEN_MILLITOKENS, before + taken, borrowed)
            tokens
        }
        keepSurplus(account, debit.grantId, borrowed, lent - added * TOKEN_MILLITOKENS)
        return added
    }

    private fun keepSurplus(account: Account, grantId: Long, borrowed: List<BorrowedPart>, surplus: Int) {
        if (surplus <= 0) return
        var rest = surplus
        val kept = borrowed.map { part ->
            val moved = minOf(rest, part.millitokens).also { rest -= it }
            val taken = synchronized(account) {
                account.credit(moved, timer.nanoTime()) { part.use.isValid(timer) }
            }
            part.use.settle(moved, unspent = moved - taken)
            BorrowedPart(part.use, part.millitokens - moved)
        }
        given.computeIfPresent(grantId) { _, before -> Given(account, before.unit, before.ownMillitokens, kept) }
    }

    private fun endNanos(nowNanos: Long, validityMillis: Long) =
        nowNanos + (validityMillis + settings.grantMarginMillis) * NANOS_PER_MILLI

    /** Ends a grant; what was not spent, in units of the grant, goes back to the account first, then to the lenders. */
    fun settle(grantId: Long, unspent: Int) {
        val grant = given.remove(grantId) ?: return
        val unspentMillitokens = unspent.coerceIn(0, MAX_AMOUNT) * grant.unit
        val ownUnspent = minOf(unspentMillitokens, grant.ownMillitokens)
        synchronized(grant.account) { grant.account.settle(grantId, ownUnspent, timer.nanoTime()) }
        var rest = unspentMillitokens - ownUnspent
        for (part in grant.borrowed) {
            val returned = minOf(rest, part.millitokens)
            part.use.settle(part.millitokens, returned)
            rest -= returned
        }
    }

    /** Debits every account. */
    fun drain(): Map<CustomerId, Long> = entries.mapValues { (_, entry) ->
        synchronized(entry.account) { entry.account.drain(timer.nanoTime()) }
    }.filterValues { it > 0 }

    companion object {
        /** One token in the unit in which owners lend to each other. */
        const val TOKEN_MILLITOKENS = 1_000

        /** More in one request would overflow an int of thousandths. */
        const val MAX_AMOUNT = 1_000_000
        private const val GRANT_ID_BITS = 36
    }
}
