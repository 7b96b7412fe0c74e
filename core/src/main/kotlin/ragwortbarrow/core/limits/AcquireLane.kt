package ragwortbarrow.core.limits

import com.github.michaelbull.result.get
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.AcquireItem
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.TokenGrant
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService

/** What a request for one token came to. */
internal sealed interface LaneOutcome {
    /** A token that may be spent while [use] is valid. */
    class Token(val use: GrantUse) : LaneOutcome

    class Refused(val retryAfterMillis: Long) : LaneOutcome

    data object Unreachable : LaneOutcome
}

/** Acquires tokens of one shard: requests that arrive while a call is in flight go together in the next one. */
internal class AcquireLane(
    private val self: VmId,
    private val shard: LimitShardId,
    private val timer: TimerService,
    private val directory: OwnerDirectory,
    private val outbox: SettlementOutbox,
    private val scope: CoroutineScope,
) {
    private class Waiter(val customer: CustomerId) {
        val outcome = CompletableDeferred<LaneOutcome>()
    }

    private val waiting = ArrayDeque<Waiter>()
    private var inFlight = false

    suspend fun acquire(customer: CustomerId): LaneOutcome {
        val waiter = Waiter(customer)
        val start = synchronized(this) {
            waiting += waiter
            !inFlight.also { inFlight = true }
        }
        if (start) scope.launch { run() }
        try {
            return waiter.outcome.await()
        } catch (e: CancellationException) {
            if (!waiter.outcome.complete(LaneOutcome.Unreachable)) giveBack(waiter.outcome.await())
            throw e
        }
    }

    private fun giveBack(outcome: LaneOutcome) {
        if (outcome is LaneOutcome.Token) outcome.use.settle(amount = 1, unspent = 1)
    }

    private suspend fun run() {
        while (true) {
            val batch = synchronized(this) {
                List(minOf(waiting.size, MAX_BATCH)) { waiting.removeFirst() }.also { inFlight = it.isNotEmpty() }
            }
            if (batch.isEmpty()) return
            try {
                call(batch)
            } finally {
                batch.forEach { it.outcome.complete(LaneOutcome.Unreachable) }
            }
        }
    }

    private suspend fun call(batch: List<Waiter>) {
        val byCustomer = batch.groupBy { it.customer }
        val items = byCustomer.map { (customer, waiters) -> AcquireItem(customer, waiters.size) }
        val request = AcquireRequest(self, shard, items, outbox.takeSpent(shard))
        val sentNanos = timer.nanoTime()
        val reply = directory.acquire(request).get() ?: return
        for (grant in reply.grants) {
            val expiresNanos = sentNanos + grant.validityMillis * NANOS_PER_MILLI
            val use = GrantUse(grant.grantId, shard, reply.fencingNumber, grant.tokens, expiresNanos, outbox)
            distribute(byCustomer[grant.customer].orEmpty(), grant, use)
        }
    }

    private fun distribute(waiters: List<Waiter>, grant: TokenGrant, use: GrantUse) {
        waiters.forEachIndexed { index, waiter ->
            if (index >= grant.tokens) {
                waiter.outcome.complete(LaneOutcome.Refused(grant.retryAfterMillis))
            } else if (!waiter.outcome.complete(LaneOutcome.Token(use))) {
                use.settle(amount = 1, unspent = 1)
            }
        }
    }

    private companion object {
        const val MAX_BATCH = 256
    }
}
