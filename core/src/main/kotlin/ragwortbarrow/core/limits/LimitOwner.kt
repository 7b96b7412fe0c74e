package ragwortbarrow.core.limits

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.HeldLease
import ragwortbarrow.core.lease.ShardHolder
import ragwortbarrow.core.limits.OwnedShard.Companion.MAX_AMOUNT
import ragwortbarrow.core.limits.OwnedShard.Companion.TOKEN_MILLITOKENS
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.AcquireItem
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.core.peer.TokenGrant
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap

/** Answers acquires and returns for the limit shards that this node owns. */
internal class LimitOwner(
    private val self: VmId,
    private val timer: TimerService,
    private val members: MemberView,
    private val configuration: ConfigurationView,
    private val layouts: LayoutView,
    private val directory: OwnerDirectory,
    private val outbox: SettlementOutbox,
    private val scope: CoroutineScope,
    private val settings: LimitSettings,
    private val accountFactory: AccountFactory = AccountFactory(::Account),
) : TokenSource {
    private class Owned(val accounts: OwnedShard, val layouts: List<ShardLayout>) {
        /** False until the owners of all shards have agreed on the first shares; the accounts are empty before. */
        val hasShares: Boolean get() = ShardLayout.EMPTY !in layouts
    }

    private val owned = ConcurrentHashMap<LimitShardId, Owned>()

    /** Takes a token of an account that this node owns, without a message; null when it does not own the account. */
    fun takeLocal(shard: LimitShardId, customer: CustomerId): Boolean? {
        val accounts = serving(shard)?.takeIf { it.lease.remainingMillis() > 0 } ?: return null
        return accounts.takeOne(customer)
    }

    override suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError> {
        val accounts = serving(request.shard) ?: return Ok(notOwner(request.shard))
        request.spentGrantIds.forEach { accounts.settle(it, unspent = 0) }
        val unit = if (request.isLoan) 1 else TOKEN_MILLITOKENS
        // All accounts are debited before any borrowing starts, so that no customer waits for another one's lender.
        val debits = request.items.map { item ->
            val entry = accounts.entry(item.customer) ?: return@map Debited(item, null, null)
            val debit = accounts.debit(entry, item.tokens.coerceIn(0, MAX_AMOUNT), unit)
            Debited(item, entry, debit ?: return Ok(notOwner(request.shard)))
        }
        val isShort = debits.size > 1 && debits.any { it.debit != null && it.debit.amount < it.item.tokens }
        val grants = if (isShort && !request.isLoan) {
            coroutineScope { debits.map { async { complete(accounts, it, request.isLoan) } }.awaitAll() }
        } else {
            debits.map { complete(accounts, it, request.isLoan) }
        }
        return Ok(AcquireReply.Granted(accounts.lease.fencingNumber, grants))
    }

    /** What an item of a request got from the account itself; nothing without an account. */
    private class Debited(val item: AcquireItem, val entry: OwnedShard.Entry?, val debit: OwnedShard.Debit?)

    private suspend fun complete(accounts: OwnedShard, debited: Debited, lend: Boolean): TokenGrant {
        val item = debited.item
        val entry = debited.entry
        val debit = debited.debit
        if (entry == null || debit == null) return TokenGrant(0, item.customer, 0, 0, UNKNOWN_CUSTOMER_RETRY_MILLIS)
        val missing = if (lend) 0 else item.tokens.coerceAtMost(MAX_AMOUNT) - debit.amount
        if (missing <= 0) return grant(accounts, entry, debit, item, debit.amount, debit.validityMillis)
        val own = synchronized(entry.account) { entry.account.levelMillitokens(timer.nanoTime()) }
        val borrowed = entry.borrower.borrow(missing * TOKEN_MILLITOKENS - own.coerceAtMost(TOKEN_MILLITOKENS - 1))
        val tokens = debit.amount + accounts.extend(entry, debit, missing, borrowed)
        val borrowedMillis = borrowed.minOfOrNull { it.use.remainingNanos(timer) / NANOS_PER_MILLI } ?: Long.MAX_VALUE
        val validityMillis = minOf(debit.validityMillis, borrowedMillis).coerceAtLeast(0)
        return grant(accounts, entry, debit, item, tokens, validityMillis)
    }

    private fun grant(
        accounts: OwnedShard,
        entry: OwnedShard.Entry,
        debit: OwnedShard.Debit,
        item: AcquireItem,
        tokens: Int,
        validityMillis: Long,
    ): TokenGrant = synchronized(entry.account) {
        if (tokens == 0) accounts.settle(debit.grantId, unspent = 0)
        val nowNanos = timer.nanoTime()
        TokenGrant(
            grantId = debit.grantId,
            customer = item.customer,
            tokens = tokens,
            validityMillis = validityMillis,
            retryAfterMillis = if (tokens < item.tokens) entry.account.millisUntilToken(nowNanos) else 0,
            levelTokens = entry.account.levelMillitokens(nowNanos) / TOKEN_MILLITOKENS,
        )
    }

    override suspend fun returnTokens(request: ReturnRequest): Result<Unit, PeerError> {
        owned[request.shard]?.accounts?.let { accounts ->
            request.returns.forEach { accounts.settle(it.grantId, it.unspentTokens) }
        }
        return Ok(Unit)
    }

    private fun serving(shard: LimitShardId): OwnedShard? = owned[shard]?.takeIf { it.hasShares }?.accounts

    private fun notOwner(shard: LimitShardId) =
        AcquireReply.NotOwner(members.ownerOf(shard)?.owner?.takeIf { it != self })

    /** The accounts of [shard] for its lease. */
    fun holderOf(shard: LimitShardId): ShardHolder = object : ShardHolder {
        override fun onHeld(
            lease: HeldLease,
            layouts: List<ShardLayout>,
            levelsPicotokens: Map<CustomerId, Long>,
            refillDelayMillis: Long,
        ) {
            val accounts = OwnedShard(shard, lease, timer, settings, accountFactory) { customer, account ->
                borrower(shard, customer, account)
            }
            accounts.configure(customers(), layouts, levelsPicotokens, refillDelayMillis)
            owned[shard] = Owned(accounts, layouts)
            // A configuration that came into force meanwhile has not reached these accounts.
            configure()
        }

        override fun onLayouts(layouts: List<ShardLayout>) {
            owned.computeIfPresent(shard) { _, before -> Owned(before.accounts, layouts) }
            configure()
        }

        override fun onLost() {
            owned.remove(shard)
        }

        override fun drain(): Map<CustomerId, Long> = owned[shard]?.accounts?.drain().orEmpty()
    }

    /** Applies the customers of the configuration in force to every account. */
    @Synchronized
    fun configure() {
        owned.values.forEach { it.accounts.configure(customers(), it.layouts) }
    }

    private fun customers() = configuration.current?.customers.orEmpty()

    private fun borrower(shard: LimitShardId, customer: CustomerId, account: Account) = Borrower(
        self = self,
        customer = customer,
        lenders = { layouts.current?.let { lenders(it, shard, customer) }.orEmpty() },
        timer = timer,
        directory = directory,
        outbox = outbox,
        scope = scope,
        settings = settings,
        keep = { millitokens, isStillHeld ->
            synchronized(account) { account.credit(millitokens, timer.nanoTime(), isStillHeld) }
        },
    )

    private fun lenders(layout: ShardLayout, shard: LimitShardId, customer: CustomerId): List<LimitShardId> =
        directory.others(layout, shard.failureDomain).mapNotNull { layout.shardOf(it, customer) }

    private companion object {
        /** A customer without an account is new here; the configuration arrives within seconds. */
        const val UNKNOWN_CUSTOMER_RETRY_MILLIS = 1_000L
    }
}
