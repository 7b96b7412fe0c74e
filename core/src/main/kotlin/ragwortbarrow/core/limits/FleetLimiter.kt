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
 * Admits the requests that reach this node with tokens from the owners of the customers' buckets. If this node owns
 * the bucket, no message is sent. Otherwise it asks the owner in its own failure domain, and the owners in other
 * failure domains if that one is unreachable.
 */
internal class FleetLimiter(
    private val self: VmId,
    private val failureDomain: FailureDomainId,
    private val timer: TimerService,
    private val layouts: LayoutView,
    private val directory: OwnerDirectory,
    private val localSource: LocalTokenSource,
    private val grantReporter: GrantReporter,
    private val scope: CoroutineScope,
    private val settings: LimitSettings,
) : AdmissionLimiter {
    /** Identifies the batcher of a whole shard, or of one recently refused customer if [customer] is set. */
    private data class BatcherKey(val shard: LimitShardId, val customer: CustomerId?)

    private class RecentRefusal(val atNanos: Long, val refuseUntilNanos: Long, val retryAfterMillis: Long)

    private val batchers = ConcurrentHashMap<BatcherKey, AcquireBatcher>()
    private val recentRefusals = ConcurrentHashMap<CustomerId, RecentRefusal>()

    override suspend fun admit(customer: CustomerId): Result<Unit, ServingError> {
        val layout = layouts.current
            ?: return Err(ServingError.Unavailable(ResultCode.NO_CONFIGURATION, "no configuration is in force yet"))
        val ownShard = layout.shardOf(failureDomain, customer)
        if (ownShard != null && localSource.takeOwnedToken(ownShard, customer) == true) return Ok(Unit)
        activeRefusalRetryMillis(customer)?.let { return Err(rateExceeded(customer, it)) }
        val otherShards = directory.otherDomains(layout, failureDomain).mapNotNull { layout.shardOf(it, customer) }
        return admitWithRetries(customer, listOfNotNull(ownShard) + otherShards)
    }

    /**
     * Retries until an owner answers or [LimitSettings.admissionWaitMillis] has passed. During a handover of the shard
     * or the warm-up of the owner's process no owner may answer for a short time; the request has not run yet, so it
     * can wait.
     */
    private suspend fun admitWithRetries(customer: CustomerId, shards: List<LimitShardId>): Result<Unit, ServingError> {
        val startNanos = timer.nanoTime()
        val waitNanos = settings.admissionWaitMillis * NANOS_PER_MILLI
        while (true) {
            when (val outcome = acquireFromOwners(customer, shards)) {
                is AcquireOutcome.Token -> return Ok(Unit)
                is AcquireOutcome.Refused -> return Err(refuse(customer, outcome.retryAfterMillis))
                AcquireOutcome.Unreachable -> Unit
            }
            if (timer.nanoTime() - startNanos >= waitNanos) return Err(unreachable(customer))
            timer.pause(settings.admissionRetryMillis)
        }
    }

    private suspend fun acquireFromOwners(customer: CustomerId, shards: List<LimitShardId>): AcquireOutcome {
        val (reachable, inBackoff) = shards.partition(directory::isReachable)
        // Owners in backoff are tried last rather than skipped, because a single failed call does not mean that the
        // owner is lost.
        for (shard in reachable + inBackoff) {
            directory.clearBackoff(shard)
            val outcome = acquireUnexpired(shard, customer)
            if (outcome != AcquireOutcome.Unreachable) return outcome
        }
        return AcquireOutcome.Unreachable
    }

    private fun unreachable(customer: CustomerId) = ServingError.Limited(
        ResultCode.LIMITS_UNAVAILABLE,
        "no node that holds rate limit tokens of customer $customer is reachable",
        settings.unreachableBackoffMillis,
    )

    /** Acquires and spends a token; retries once if the grant had already expired on arrival. */
    private suspend fun acquireUnexpired(shard: LimitShardId, customer: CustomerId): AcquireOutcome {
        repeat(MAX_ATTEMPTS) {
            val outcome = batcher(shard, customer).acquire(customer)
            if (outcome !is AcquireOutcome.Token || spend(outcome.grant)) return outcome
        }
        return AcquireOutcome.Unreachable
    }

    /** Spends one token if its grant is still valid. An expired token is reported as spent and is lost. */
    private fun spend(grant: ReceivedGrant): Boolean =
        grant.isValid(timer).also { grant.release(amount = 1, unspent = 0) }

    private fun batcher(shard: LimitShardId, customer: CustomerId): AcquireBatcher {
        // A refused customer makes the owner borrow; with its own batcher, other customers do not wait for the lender.
        val isRecentlyRefused =
            recentRefusals[customer]?.let { timer.nanoTime() - it.atNanos < RECENT_REFUSAL_NANOS } ?: false
        return batchers.computeIfAbsent(BatcherKey(shard, customer.takeIf { isRecentlyRefused })) {
            AcquireBatcher(self, shard, timer, directory, grantReporter, scope)
        }
    }

    /** Records a refusal, so that further requests are refused locally for up to the borrow backoff. */
    private fun refuse(customer: CustomerId, retryAfterMillis: Long): ServingError {
        val nowNanos = timer.nanoTime()
        val refusalMillis = minOf(retryAfterMillis, settings.borrowBackoffMillis)
        recentRefusals[customer] = RecentRefusal(nowNanos, nowNanos + refusalMillis * NANOS_PER_MILLI, retryAfterMillis)
        return rateExceeded(customer, retryAfterMillis)
    }

    private fun activeRefusalRetryMillis(customer: CustomerId): Long? =
        recentRefusals[customer]?.takeIf { it.refuseUntilNanos - timer.nanoTime() > 0 }?.retryAfterMillis

    private fun rateExceeded(customer: CustomerId, retryAfterMillis: Long) = ServingError.Limited(
        ResultCode.RATE_EXCEEDED,
        "customer $customer is over its rate",
        retryAfterMillis.coerceAtLeast(1),
    )

    private companion object {
        const val MAX_ATTEMPTS = 2
        const val RECENT_REFUSAL_NANOS = 1_000L * NANOS_PER_MILLI
    }
}
