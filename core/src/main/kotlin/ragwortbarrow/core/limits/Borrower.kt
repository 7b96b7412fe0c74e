package ragwortbarrow.core.limits

import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.withDeadline
import ragwortbarrow.core.limits.OwnedShard.Companion.MAX_AMOUNT
import ragwortbarrow.core.limits.OwnedShard.Companion.TOKEN_MILLITOKENS
import ragwortbarrow.core.peer.AcquireItem
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService

/** Some thousandths of tokens of a lender's grant. */
internal class BorrowedPart(val use: GrantUse, val millitokens: Int)

/**
 * Borrows for one account from the accounts of the same customer in other failure domains. One borrow is in flight at
 * a time; those that wait share the next one. Lenders are asked for thousandths of tokens, since fractions spread over
 * several accounts add up to a token. After a borrow that found too little, the account borrows nothing for a short
 * while, so that a customer far over its rate causes no flood of messages.
 *
 * A lender that has more than is needed is asked for half of the rest too, which [keep] puts into the account. A lender
 * at its bound would lose its refill, and an account that gets all of a customer's requests would borrow for each.
 */
internal class Borrower(
    private val self: VmId,
    private val customer: CustomerId,
    private val lenders: () -> List<LimitShardId>,
    private val timer: TimerService,
    private val directory: OwnerDirectory,
    private val outbox: SettlementOutbox,
    private val scope: CoroutineScope,
    private val settings: LimitSettings,
    private val keep: (millitokens: Int, isStillHeld: () -> Boolean) -> Int,
) {
    private class Waiter(val millitokens: Int) {
        val parts = CompletableDeferred<List<BorrowedPart>>()
    }

    private val waiting = ArrayDeque<Waiter>()
    private var inFlight = false
    private var pausedUntilNanos: Long? = null
    private val lastLevels = HashMap<LimitShardId, Int>()

    /** Borrows up to [millitokens]; the parts come from requests that were sent after this call. */
    suspend fun borrow(millitokens: Int): List<BorrowedPart> {
        val waiter = Waiter(millitokens)
        val start = synchronized(this) {
            if (isPaused()) return emptyList()
            waiting += waiter
            !inFlight.also { inFlight = true }
        }
        if (start) scope.launch { run() }
        val parts = timer.withDeadline(settings.borrowDeadlineMillis) { waiter.parts.await() }
        if (parts == null && !waiter.parts.complete(emptyList())) return waiter.parts.await()
        return parts.orEmpty()
    }

    private fun isPaused() = pausedUntilNanos?.let { it - timer.nanoTime() > 0 } ?: false

    private suspend fun run() {
        while (true) {
            val batch = takeWaiting()
            if (batch.isEmpty()) return
            val wanted = batch.sumOf { it.millitokens }
            val parts = ask(wanted)
            val found = parts.sumOf { it.millitokens }
            distribute(batch, parts)
            if (found < wanted) {
                val refused = synchronized(this) {
                    pausedUntilNanos = timer.nanoTime() + settings.borrowPauseMillis * NANOS_PER_MILLI
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

    private suspend fun ask(millitokens: Int): List<BorrowedPart> {
        val parts = ArrayList<BorrowedPart>()
        var missing = millitokens
        for (shard in lendersByLevel()) {
            if (missing <= 0) break
            val items = listOf(AcquireItem(customer, missing + half(shard)))
            val request = AcquireRequest(self, shard, items, outbox.takeSpent(shard), isLoan = true)
            val sentNanos = timer.nanoTime()
            val reply = directory.acquire(request).get()
            val grant = reply?.grants?.firstOrNull()
            synchronized(this) { lastLevels[shard] = grant?.levelTokens ?: 0 }
            if (grant == null || grant.tokens == 0) continue
            val expiresNanos = sentNanos + grant.validityMillis * NANOS_PER_MILLI
            val use = GrantUse(grant.grantId, shard, reply.fencingNumber, grant.tokens, expiresNanos, outbox)
            if (!use.isValid(timer)) continue
            parts += BorrowedPart(use, grant.tokens)
            missing -= grant.tokens
        }
        return parts
    }

    private fun half(shard: LimitShardId): Int = synchronized(this) {
        (lastLevels[shard] ?: 0).coerceAtMost(MAX_AMOUNT) * TOKEN_MILLITOKENS / 2
    }

    /** The lenders in the order of their last known level; one that was never asked comes first. */
    private fun lendersByLevel(): List<LimitShardId> = synchronized(this) {
        lenders().filter(directory::isReachable)
            .sortedByDescending { lastLevels[it] ?: Int.MAX_VALUE }
            .take(MAX_LENDERS)
    }

    private fun distribute(batch: List<Waiter>, parts: List<BorrowedPart>) {
        val rest = ArrayDeque(parts)
        for (waiter in batch) {
            val own = takeParts(rest, waiter.millitokens)
            if (!waiter.parts.complete(own)) own.forEach { it.use.settle(it.millitokens, unspent = it.millitokens) }
        }
        for (part in rest) {
            val kept = keep(part.millitokens) { part.use.isValid(timer) }
            part.use.settle(part.millitokens, unspent = part.millitokens - kept)
        }
    }

    private fun takeParts(rest: ArrayDeque<BorrowedPart>, millitokens: Int): List<BorrowedPart> {
        val taken = ArrayList<BorrowedPart>()
        var missing = millitokens
        while (missing > 0 && rest.isNotEmpty()) {
            val part = rest.removeFirst()
            val count = minOf(missing, part.millitokens)
            taken += BorrowedPart(part.use, count)
            if (count < part.millitokens) rest.addFirst(BorrowedPart(part.use, part.millitokens - count))
            missing -= count
        }
        return taken
    }

    private companion object {
        /** At most this many lenders are asked in one borrow, to bound the messages of a customer over its rate. */
        const val MAX_LENDERS = 3
    }
}
