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
import ragwortbarrow.core.lease.LeaseHandle
import ragwortbarrow.core.lease.ShardOwnershipCallbacks
import ragwortbarrow.core.limits.OwnedShard.Companion.MAX_GRANT_AMOUNT
import ragwortbarrow.core.limits.OwnedShard.Companion.MILLITOKENS_PER_TOKEN
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

/** Answers requests for tokens, and returns of tokens, for the limit shards that this node owns. */
internal class LocalTokenSource(
    private val self: VmId,
    private val timer: TimerService,
    private val members: MemberView,
    private val configuration: ConfigurationView,
    private val layouts: LayoutView,
    private val directory: OwnerDirectory,
    private val grantReporter: GrantReporter,
    private val scope: CoroutineScope,
    private val settings: LimitSettings,
    private val bucketFactory: TokenBucketFactory = TokenBucketFactory(::TokenBucket),
) : TokenSource {
    private class OwnedShardState(val ownedShard: OwnedShard, val layouts: List<ShardLayout>) {
        /** False until the owners of all shards agree on the initial layout; the buckets are empty until then. */
        val hasShares: Boolean get() = ShardLayout.EMPTY !in layouts
    }

    private val owned = ConcurrentHashMap<LimitShardId, OwnedShardState>()

    /** Takes a token without a message, or returns null if this node does not own the shard. */
    fun takeOwnedToken(shard: LimitShardId, customer: CustomerId): Boolean? {
        val ownedShard = servableShard(shard)?.takeIf { it.lease.remainingMillis() > 0 } ?: return null
        return ownedShard.takeOne(customer)
    }

    override suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError> {
        val ownedShard = servableShard(request.shard) ?: return Ok(notOwner(request.shard))
        request.spentGrantIds.forEach { ownedShard.releaseGrant(it, unspent = 0) }
        val unit = if (request.isLoan) 1 else MILLITOKENS_PER_TOKEN
        // All buckets are debited before any borrowing starts, so that no customer waits for another customer's lender.
        val debits = request.items.map { item ->
            val entry = ownedShard.entry(item.customer) ?: return@map DebitedItem(item, null, null)
            val debit = ownedShard.debit(entry, item.tokens.coerceIn(0, MAX_GRANT_AMOUNT), unit)
            DebitedItem(item, entry, debit ?: return Ok(notOwner(request.shard)))
        }
        val needsBorrowing = debits.size > 1 && debits.any { it.debit != null && it.debit.amount < it.item.tokens }
        val grants = if (needsBorrowing && !request.isLoan) {
            coroutineScope { debits.map { async { completeGrant(ownedShard, it, request.isLoan) } }.awaitAll() }
        } else {
            debits.map { completeGrant(ownedShard, it, request.isLoan) }
        }
        return Ok(AcquireReply.Granted(ownedShard.lease.fencingNumber, grants))
    }

    /** A requested item and what its own bucket provided; [entry] and [debit] are null if there is no bucket. */
    private class DebitedItem(val item: AcquireItem, val entry: OwnedShard.BucketEntry?, val debit: OwnedShard.Debit?)

    private suspend fun completeGrant(ownedShard: OwnedShard, debited: DebitedItem, lend: Boolean): TokenGrant {
        val item = debited.item
        val entry = debited.entry
        val debit = debited.debit
        if (entry == null || debit == null) return TokenGrant(0, item.customer, 0, 0, UNKNOWN_CUSTOMER_RETRY_MILLIS)
        val missing = if (lend) 0 else item.tokens.coerceAtMost(MAX_GRANT_AMOUNT) - debit.amount
        if (missing <= 0) return grant(ownedShard, entry, debit, item, debit.amount, debit.validityMillis)
        val own = synchronized(entry.bucket) { entry.bucket.levelMillitokens(timer.nanoTime()) }
        val borrowed =
            entry.borrower.borrow(missing * MILLITOKENS_PER_TOKEN - own.coerceAtMost(MILLITOKENS_PER_TOKEN - 1))
        val tokens = debit.amount + ownedShard.extendGrant(entry, debit, missing, borrowed)
        val borrowedMillis = borrowed.minOfOrNull { it.grant.remainingNanos(timer) / NANOS_PER_MILLI } ?: Long.MAX_VALUE
        val validityMillis = minOf(debit.validityMillis, borrowedMillis).coerceAtLeast(0)
        return grant(ownedShard, entry, debit, item, tokens, validityMillis)
    }

    private fun grant(
        ownedShard: OwnedShard,
        entry: OwnedShard.BucketEntry,
        debit: OwnedShard.Debit,
        item: AcquireItem,
        tokens: Int,
        validityMillis: Long,
    ): TokenGrant = synchronized(entry.bucket) {
        if (tokens == 0) ownedShard.releaseGrant(debit.grantId, unspent = 0)
        val nowNanos = timer.nanoTime()
        TokenGrant(
            grantId = debit.grantId,
            customer = item.customer,
            tokens = tokens,
            validityMillis = validityMillis,
            retryAfterMillis = if (tokens < item.tokens) entry.bucket.millisUntilToken(nowNanos) else 0,
            levelTokens = entry.bucket.levelMillitokens(nowNanos) / MILLITOKENS_PER_TOKEN,
        )
    }

    override suspend fun returnTokens(request: ReturnRequest): Result<Unit, PeerError> {
        owned[request.shard]?.ownedShard?.let { ownedShard ->
            request.returns.forEach { ownedShard.releaseGrant(it.grantId, it.unspentTokens) }
        }
        return Ok(Unit)
    }

    private fun servableShard(shard: LimitShardId): OwnedShard? = owned[shard]?.takeIf { it.hasShares }?.ownedShard

    private fun notOwner(shard: LimitShardId) =
        AcquireReply.NotOwner(members.ownerOf(shard)?.owner?.takeIf { it != self })

    /** Creates and removes the buckets of [shard] as its lease is acquired and lost. */
    fun ownershipCallbacks(shard: LimitShardId): ShardOwnershipCallbacks = object : ShardOwnershipCallbacks {
        override fun onAcquired(
            lease: LeaseHandle,
            layouts: List<ShardLayout>,
            levelsPicotokens: Map<CustomerId, Long>,
            refillDelayMillis: Long,
        ) {
            val ownedShard = OwnedShard(shard, lease, timer, settings, bucketFactory) { customer, bucket ->
                createBorrower(shard, customer, bucket)
            }
            ownedShard.configure(customers(), layouts, levelsPicotokens, refillDelayMillis)
            owned[shard] = OwnedShardState(ownedShard, layouts)
            // The configuration may have changed before the shard was added to `owned`.
            configure()
        }

        override fun onLayoutsChanged(layouts: List<ShardLayout>) {
            owned.computeIfPresent(shard) { _, before -> OwnedShardState(before.ownedShard, layouts) }
            configure()
        }

        override fun onLost() {
            owned.remove(shard)
        }

        override fun drain(): Map<CustomerId, Long> = owned[shard]?.ownedShard?.drain().orEmpty()
    }

    /** Applies the customers of the active configuration to all owned shards. */
    @Synchronized
    fun configure() {
        owned.values.forEach { it.ownedShard.configure(customers(), it.layouts) }
    }

    private fun customers() = configuration.current?.customers.orEmpty()

    private fun createBorrower(shard: LimitShardId, customer: CustomerId, bucket: TokenBucket) = Borrower(
        self = self,
        customer = customer,
        lenders = { layouts.current?.let { lenders(it, shard, customer) }.orEmpty() },
        timer = timer,
        directory = directory,
        grantReporter = grantReporter,
        scope = scope,
        settings = settings,
        creditSurplus = { millitokens, isStillOutstanding ->
            synchronized(bucket) { bucket.credit(millitokens, timer.nanoTime(), isStillOutstanding) }
        },
    )

    private fun lenders(layout: ShardLayout, shard: LimitShardId, customer: CustomerId): List<LimitShardId> =
        directory.otherDomains(layout, shard.failureDomain).mapNotNull { layout.shardOf(it, customer) }

    private companion object {
        /** A customer without a bucket is new; its configuration reaches this node within seconds. */
        const val UNKNOWN_CUSTOMER_RETRY_MILLIS = 1_000L
    }
}
