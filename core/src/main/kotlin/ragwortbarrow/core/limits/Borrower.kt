package ragwortbarrow.core.limits

import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.withTimeoutOrNull
import ragwortbarrow.core.limits.OwnedShard.Companion.MAX_GRANT_AMOUNT
import ragwortbarrow.core.limits.OwnedShard.Companion.MILLITOKENS_PER_TOKEN
import ragwortbarrow.core.peer.AcquireItem
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService

/** A part of a grant from a lender, in thousandths of a token. */
internal class BorrowedPart(val grant: ReceivedGrant, val millitokens: Int)

/**
 * Borrows tokens for one bucket from the buckets of the same customer in other failure domains. Only one borrow is in
 * flight at a time; callers that wait meanwhile share the next one. Amounts are in thousandths of a token, because
 * fractions in several buckets can add up to a whole token. After a borrow that got less than requested, borrowing is
 * suspended for [LimitSettings.borrowBackoffMillis] to limit the messages of a customer far over its rate.
 *
 * Each request to a lender also asks for half of the lender's last known level, which [creditSurplus] adds to the
 * bucket. Otherwise a full lender would lose its refill, and a bucket that receives all requests of a customer would
 * borrow once for each.
 */
internal class Borrower(
    private val self: VmId,
    private val customer: CustomerId,
    private val lenders: () -> List<LimitShardId>,
    private val timer: TimerService,
    private val directory: OwnerDirectory,
    private val grantReporter: GrantReporter,
    private val scope: CoroutineScope,
    private val settings: LimitSettings,
    private val creditSurplus: (millitokens: Int, isStillOutstanding: () -> Boolean) -> Int,
) {
    private class Waiter(val millitokens: Int) {
        val parts = CompletableDeferred<List<BorrowedPart>>()
    }

    private val waiting = ArrayDeque<Waiter>()
    private var inFlight = false
    private var backoffUntilNanos: Long? = null
    private val lastKnownLevels = HashMap<LimitShardId, Int>()

    /** Borrows up to [millitokens]; the returned parts come from requests that were sent after this call. */
    suspend fun borrow(millitokens: Int): List<BorrowedPart> {
        val waiter = Waiter(millitokens)
        val start = synchronized(this) {
            if (isInBackoff()) return emptyList()
            waiting += waiter
            !inFlight.also { inFlight = true }
        }
        if (start) scope.launch { serveWaiters() }
        val parts = timer.withTimeoutOrNull(settings.borrowTimeoutMillis) { waiter.parts.await() }
        if (parts == null && !waiter.parts.complete(emptyList())) return waiter.parts.await()
        return parts.orEmpty()
    }

    private fun isInBackoff() = backoffUntilNanos?.let { it - timer.nanoTime() > 0 } ?: false

    private suspend fun serveWaiters() {
        while (true) {
            val batch = takeWaiting()
            if (batch.isEmpty()) return
            val wanted = batch.sumOf { it.millitokens }
            val parts = borrowFromLenders(wanted)
            val found = parts.sumOf { it.millitokens }
            distribute(batch, parts)
            if (found < wanted) {
                val refused = synchronized(this) {
                    backoffUntilNanos = timer.nanoTime() + settings.borrowBackoffMillis * NANOS_PER_MILLI
                    takeWaiting().also { inFlight = false }
                }
                refused.forEach { it.parts.complete(emptyList()) }
                return
            }
        }
    }

    private fun takeWaiting(): List<Waiter> = synchronized(this) {
        waiting.toList().also {
            waiting.clear()
            inFlight = it.isNotEmpty()
        }
    }

    private suspend fun borrowFromLenders(millitokens: Int): List<BorrowedPart> {
        val parts = ArrayList<BorrowedPart>()
        var missing = millitokens
        for (shard in lendersByLevel()) {
            if (missing <= 0) break
            val items = listOf(AcquireItem(customer, missing + extraMillitokens(shard)))
            val request = AcquireRequest(self, shard, items, grantReporter.takeSpentGrantIds(shard), isLoan = true)
            val sentNanos = timer.nanoTime()
            val reply = directory.acquire(request).get()
            val grant = reply?.grants?.firstOrNull()
            synchronized(this) { lastKnownLevels[shard] = grant?.levelTokens ?: 0 }
            if (grant == null || grant.tokens == 0) continue
            val expiresNanos = sentNanos + grant.validityMillis * NANOS_PER_MILLI
            val receivedGrant =
                ReceivedGrant(grant.grantId, shard, reply.fencingNumber, grant.tokens, expiresNanos, grantReporter)
            if (!receivedGrant.isValid(timer)) continue
            parts += BorrowedPart(receivedGrant, grant.tokens)
            missing -= grant.tokens
        }
        return parts
    }

    private fun extraMillitokens(shard: LimitShardId): Int = synchronized(this) {
        (lastKnownLevels[shard] ?: 0).coerceAtMost(MAX_GRANT_AMOUNT) * MILLITOKENS_PER_TOKEN / 2
    }

    /** The reachable lenders by descending last known level; a lender without a known level comes first. */
    private fun lendersByLevel(): List<LimitShardId> = synchronized(this) {
        lenders().filter(directory::isReachable)
            .sortedByDescending { lastKnownLevels[it] ?: Int.MAX_VALUE }
            .take(MAX_LENDERS)
    }

    private fun distribute(batch: List<Waiter>, parts: List<BorrowedPart>) {
        val remaining = ArrayDeque(parts)
        for (waiter in batch) {
            val own = takeParts(remaining, waiter.millitokens)
            if (!waiter.parts.complete(own)) own.forEach { it.grant.release(it.millitokens, unspent = it.millitokens) }
        }
        for (part in remaining) {
            val kept = creditSurplus(part.millitokens) { part.grant.isValid(timer) }
            part.grant.release(part.millitokens, unspent = part.millitokens - kept)
        }
    }

    private fun takeParts(remaining: ArrayDeque<BorrowedPart>, millitokens: Int): List<BorrowedPart> {
        val taken = ArrayList<BorrowedPart>()
        var missing = millitokens
        while (missing > 0 && remaining.isNotEmpty()) {
            val part = remaining.removeFirst()
            val count = minOf(missing, part.millitokens)
            taken += BorrowedPart(part.grant, count)
            if (count < part.millitokens) remaining.addFirst(BorrowedPart(part.grant, part.millitokens - count))
            missing -= count
        }
        return taken
    }

    private companion object {
        /** Lenders asked per borrow; limits the messages caused by a customer over its rate. */
        const val MAX_LENDERS = 3
    }
}
