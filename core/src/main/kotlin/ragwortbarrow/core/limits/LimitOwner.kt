package ragwortbarrow.core.limits

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.HeldLease
import ragwortbarrow.core.lease.ShardHolder
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
    private class Owned(val accounts: OwnedShard, val layouts: List<ShardLayout>)

    private val owned = ConcurrentHashMap<LimitShardId, Owned>()

    /** Takes a token of an account that this node owns, without a message; null when it does not own the account. */
    fun takeLocal(shard: LimitShardId, customer: CustomerId): Boolean? {
        val accounts = owned[shard]?.accounts?.takeIf { it.lease.remainingMillis() > 0 } ?: return null
        return accounts.takeOne(customer)
    }

    override suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError> {
        val accounts = owned[request.shard]?.accounts ?: return Ok(notOwner(request.shard))
        request.spentGrantIds.forEach { accounts.settle(it, unspentTokens = 0) }
        // All accounts are debited before any borrowing starts, so that no customer waits for another one's lender.
        val debits = request.items.map { item ->
            accounts.entry(item.customer)?.let {
                it to
                    (accounts.debit(it, item.tokens) ?: return Ok(notOwner(request.shard)))
            }
        }
        val grants = coroutineScope {
            request.items.zip(debits).map { (item, debit) ->
                when {
                    debit == null -> async { TokenGrant(0, item.customer, 0, 0, UNKNOWN_CUSTOMER_RETRY_MILLIS) }
                    else -> async { complete(accounts, debit.first, debit.second, item, request.lend) }
                }
            }.map { it.await() }
        }
        return Ok(AcquireReply.Granted(accounts.lease.fencingNumber, grants))
    }

    private suspend fun complete(
        accounts: OwnedShard,
        entry: OwnedShard.Entry,
        debit: OwnedShard.Debit,
        item: AcquireItem,
        lend: Boolean,
    ): TokenGrant {
        val missing = item.tokens - debit.tokens
        val borrowed = if (missing > 0 && !lend) entry.borrower.borrow(missing) else emptyList()
        if (borrowed.isNotEmpty()) accounts.attach(debit.grantId, borrowed)
        val borrowedMillis = borrowed.minOfOrNull { it.use.remainingNanos(timer) / NANOS_PER_MILLI } ?: Long.MAX_VALUE
        val tokens = debit.tokens + borrowed.sumOf { it.tokens }
        if (tokens == 0) accounts.settle(debit.grantId, unspentTokens = 0)
        return synchronized(entry.account) {
            val nowNanos = timer.nanoTime()
            TokenGrant(
                grantId = debit.grantId,
                customer = item.customer,
                tokens = tokens,
                validityMillis = minOf(debit.validityMillis, borrowedMillis).coerceAtLeast(0),
                retryAfterMillis = if (tokens < item.tokens) entry.account.millisUntilToken(nowNanos) else 0,
                levelTokens = entry.account.levelTokens(nowNanos),
            )
        }
    }

    override suspend fun giveBack(request: ReturnRequest): Result<Unit, PeerError> {
        owned[request.shard]?.accounts?.let { accounts ->
            request.returns.forEach { accounts.settle(it.grantId, it.unspentTokens) }
        }
        return Ok(Unit)
    }

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
            val accounts = OwnedShard(shard, lease, timer, settings, accountFactory) { borrower(shard, it) }
            accounts.configure(customers(), layouts, levelsPicotokens, refillDelayMillis)
            owned[shard] = Owned(accounts, layouts)
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

    private fun borrower(shard: LimitShardId, customer: CustomerId) = Borrower(
        self = self,
        customer = customer,
        lenders = { layouts.current?.let { lenders(it, shard, customer) }.orEmpty() },
        timer = timer,
        directory = directory,
        outbox = outbox,
        scope = scope,
        settings = settings,
    )

    private fun lenders(layout: ShardLayout, shard: LimitShardId, customer: CustomerId): List<LimitShardId> =
        directory.others(layout, shard.failureDomain).mapNotNull { layout.shardOf(it, customer) }

    private companion object {
        /** A customer without an account is new here; the configuration arrives within seconds. */
        const val UNKNOWN_CUSTOMER_RETRY_MILLIS = 1_000L
    }
}
