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

/** The outcome of a request for one token. */
internal sealed interface AcquireOutcome {
    /** A token that may be spent while [grant] is valid. */
    class Token(val grant: ReceivedGrant) : AcquireOutcome

    class Refused(val retryAfterMillis: Long) : AcquireOutcome

    data object Unreachable : AcquireOutcome
}

/** Acquires tokens of one shard in batches: requests that arrive while a call is in flight share the next call. */
internal class AcquireBatcher(
    private val self: VmId,
    private val shard: LimitShardId,
    private val timer: TimerService,
    private val directory: OwnerDirectory,
    private val grantReporter: GrantReporter,
    private val scope: CoroutineScope,
) {
    private class Waiter(val customer: CustomerId) {
        val outcome = CompletableDeferred<AcquireOutcome>()
    }

    private val waiting = ArrayDeque<Waiter>()
    private var inFlight = false

    suspend fun acquire(customer: CustomerId): AcquireOutcome {
        val waiter = Waiter(customer)
        val start = synchronized(this) {
            waiting += waiter
            !inFlight.also { inFlight = true }
        }
        if (start) scope.launch { sendBatches() }
        try {
            return waiter.outcome.await()
        } catch (e: CancellationException) {
            if (!waiter.outcome.complete(AcquireOutcome.Unreachable)) returnUnspent(waiter.outcome.await())
            throw e
        }
    }

    private fun returnUnspent(outcome: AcquireOutcome) {
        if (outcome is AcquireOutcome.Token) outcome.grant.release(amount = 1, unspent = 1)
    }

    private suspend fun sendBatches() {
        while (true) {
            val batch = synchronized(this) {
                List(minOf(waiting.size, MAX_BATCH)) { waiting.removeFirst() }.also { inFlight = it.isNotEmpty() }
            }
            if (batch.isEmpty()) return
            try {
                sendBatch(batch)
            } finally {
                batch.forEach { it.outcome.complete(AcquireOutcome.Unreachable) }
            }
        }
    }

    private suspend fun sendBatch(batch: List<Waiter>) {
        val byCustomer = batch.groupBy { it.customer }
        val items = byCustomer.map { (customer, waiters) -> AcquireItem(customer, waiters.size) }
        val request = AcquireRequest(self, shard, items, grantReporter.takeSpentGrantIds(shard))
        val sentNanos = timer.nanoTime()
        val reply = directory.acquire(request).get() ?: return
        for (grant in reply.grants) {
            val expiresNanos = sentNanos + grant.validityMillis * NANOS_PER_MILLI
            val receivedGrant =
                ReceivedGrant(grant.grantId, shard, reply.fencingNumber, grant.tokens, expiresNanos, grantReporter)
            distribute(byCustomer[grant.customer].orEmpty(), grant, receivedGrant)
        }
    }

    private fun distribute(waiters: List<Waiter>, grant: TokenGrant, receivedGrant: ReceivedGrant) {
        waiters.forEachIndexed { index, waiter ->
            if (index >= grant.tokens) {
                waiter.outcome.complete(AcquireOutcome.Refused(grant.retryAfterMillis))
            } else if (!waiter.outcome.complete(AcquireOutcome.Token(receivedGrant))) {
                receivedGrant.release(amount = 1, unspent = 1)
            }
        }
    }

    private companion object {
        const val MAX_BATCH = 256
    }
}
