package ragwortbarrow.core.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import java.util.concurrent.ConcurrentHashMap

/**
 * Admits requests on an entry node with tokens from the accounts' owners: without a message when this node owns the
 * account, otherwise from the owner in its own failure domain, or from another one's when that cannot be reached.
 */
internal class FleetLimiter(
    private val self: VmId,
    private val failureDomain: FailureDomainId,
    private val timer: TimerService,
    private val layouts: LayoutView,
    private val directory: OwnerDirectory,
    private val owner: LimitOwner,
    private val outbox: SettlementOutbox,
    private val scope: CoroutineScope,
    private val settings: LimitSettings,
) : AdmissionLimiter {
    /** A lane for all customers of a shard, or for one that was short of tokens lately. */
    private data class LaneKey(val shard: LimitShardId, val customer: CustomerId?)

    private class Shortage(val atNanos: Long, val refuseUntilNanos: Long, val retryAfterMillis: Long)

    private val lanes = ConcurrentHashMap<LaneKey, AcquireLane>()
    private val shortages = ConcurrentHashMap<CustomerId, Shortage>()

    override suspend fun admit(customer: CustomerId): Result<Unit, ServingError> {
        val layout = layouts.current
            ?: return Err(ServingError.Unavailable(ResultCode.NO_CONFIGURATION, "no configuration is in force yet"))
        val ownShard = layout.shardOf(failureDomain, customer)
        if (ownShard != null && owner.takeLocal(ownShard, customer) == true) return Ok(Unit)
        refusalInForce(customer)?.let { return Err(rateExceeded(customer, it)) }
        val others = directory.others(layout, failureDomain).mapNotNull { layout.shardOf(it, customer) }
        return admitFrom(customer, listOfNotNull(ownShard) + others)
    }

    /**
     * Asks the owners until one answers or [LimitSettings.admissionWaitMillis] is over. While a shard is handed over,
     * or while the owner's process warms up, no owner answers for a moment; the request has not run and can wait.
     */
    private suspend fun admitFrom(customer: CustomerId, shards: List<LimitShardId>): Result<Unit, ServingError> {
        val startNanos = timer.nanoTime()
        val waitNanos = settings.admissionWaitMillis * NANOS_PER_MILLI
        while (true) {
            when (val outcome = askOwners(customer, shards)) {
                is LaneOutcome.Token -> return Ok(Unit)
                is LaneOutcome.Refused -> return Err(refuse(customer, outcome.retryAfterMillis))
                LaneOutcome.Unreachable -> Unit
            }
            if (timer.nanoTime() - startNanos >= waitNanos) return Err(unreachable(customer))
            timer.pause(settings.admissionRetryMillis)
        }
    }

    private suspend fun askOwners(customer: CustomerId, shards: List<LimitShardId>): LaneOutcome {
        val (reachable, paused) = shards.partition(directory::isReachable)
        // An owner that did not answer lately is asked again when nobody else is left, since a call may fail once
        // without its owner being lost.
        for (shard in reachable + paused) {
            directory.endPause(shard)
            val outcome = acquireValid(shard, customer)
            if (outcome != LaneOutcome.Unreachable) return outcome
        }
        return LaneOutcome.Unreachable
    }

    private fun unreachable(customer: CustomerId) = ServingError.Limited(
        ResultCode.LIMITS_UNAVAILABLE,
        "no account of customer $customer can be reached",
        settings.unreachablePauseMillis,
    )

    /** Acquires and spends a token, asking once more when the grant arrived after its validity. */
    private suspend fun acquireValid(shard: LimitShardId, customer: CustomerId): LaneOutcome {
        repeat(MAX_ATTEMPTS) {
            val outcome = lane(shard, customer).acquire(customer)
            if (outcome !is LaneOutcome.Token || spend(outcome.use)) return outcome
        }
        return LaneOutcome.Unreachable
    }

    /** Spends one token if its grant is still valid; an expired token is reported as ended and lost. */
    private fun spend(use: GrantUse): Boolean = use.isValid(timer).also { use.settle(amount = 1, unspent = 0) }

    private fun lane(shard: LimitShardId, customer: CustomerId): AcquireLane {
        // A customer that makes its owner borrow has a lane of its own, so that others do not wait for the lender.
        val isShort = shortages[customer]?.let { timer.nanoTime() - it.atNanos < SHORTAGE_MEMORY_NANOS } ?: false
        return lanes.computeIfAbsent(LaneKey(shard, customer.takeIf { isShort })) {
            AcquireLane(self, shard, timer, directory, outbox, scope)
        }
    }

    /** Remembers a refusal for a moment, in which further requests are refused without a message. */
    private fun refuse(customer: CustomerId, retryAfterMillis: Long): ServingError {
        val now = timer.nanoTime()
        val pauseMillis = minOf(retryAfterMillis, settings.borrowPauseMillis)
        shortages[customer] = Shortage(now, now + pauseMillis * NANOS_PER_MILLI, retryAfterMillis)
        return rateExceeded(customer, retryAfterMillis)
    }

    private fun refusalInForce(customer: CustomerId): Long? =
        shortages[customer]?.takeIf { it.refuseUntilNanos - timer.nanoTime() > 0 }?.retryAfterMillis

    private fun rateExceeded(customer: CustomerId, retryAfterMillis: Long) = ServingError.Limited(
        ResultCode.RATE_EXCEEDED,
        "customer $customer is over its rate",
        retryAfterMillis.coerceAtLeast(1),
    )

    private companion object {
        const val MAX_ATTEMPTS = 2
        const val SHORTAGE_MEMORY_NANOS = 1_000L * NANOS_PER_MILLI
    }
}
