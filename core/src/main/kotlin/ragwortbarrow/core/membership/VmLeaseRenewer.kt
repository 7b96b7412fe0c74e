package ragwortbarrow.core.membership

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import ragwortbarrow.core.config.ConfigurationStatus
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import kotlin.random.Random

/**
 * Renews this node's `vmleases` object every [renewMillis], reports the applied or rejected configuration version in
 * it, and deletes it on a graceful stop.
 *
 * Other nodes take over this node's chunks once the lease has expired. [isHeld] therefore compares the monotonic clock
 * with the term, counted from before the last successful renewal was sent, less a margin.
 */
class VmLeaseRenewer(
    private val store: ObjectStore,
    private val writer: IdempotentWriter,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val self: MemberInfo,
    private val configurationStatus: () -> ConfigurationStatus = { ConfigurationStatus() },
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    private val termMillis: Long = 30_000,
    private val renewMillis: Long = 10_000,
    private val marginMillis: Long = 1_000,
    private val retryMillis: Long = 1_000,
    private val maxRetryMillis: Long = 5_000,
    private val random: Random = Random.Default,
) {
    private var job: Job? = null
    private var current: StoredObject? = null
    private var renewal = 0L

    @Volatile
    private var heldUntilNanos: Long? = null

    /** Whether the lease is certainly still valid. */
    fun isHeld(): Boolean = heldUntilNanos?.let { timer.nanoTime() - it < 0 } ?: false

    @Synchronized
    fun start() {
        if (job == null) job = scope.launch { run() }
    }

    /** Stops renewing and deletes the object, so that other nodes need not wait for the lease to expire. */
    suspend fun stop() {
        synchronized(this) { job.also { job = null } }?.let {
            it.cancel()
            it.join()
        }
        heldUntilNanos = null
        // Read again, because a renewal interrupted by the stop may have taken effect.
        val lease = read().getOrElse { current } ?: return
        if (VmLease.of(lease).incarnation != self.incarnation) return
        writer.delete(lease).fold(
            { current = null },
            { decisionLog.record("vm_lease_not_released", "reason" to it.message) },
        )
    }

    private suspend fun run() {
        var backoffMillis = retryMillis
        while (true) {
            val delayMillis = renew().fold(
                { renewMillis.also { backoffMillis = retryMillis } },
                { error ->
                    decisionLog.record("vm_lease_not_renewed", "reason" to error.message)
                    if (error is RenewalFailure.Superseded) return
                    // Exponential backoff with jitter, because all nodes retry when the platform recovers.
                    (backoffMillis / 2 + random.nextLong(backoffMillis)).also {
                        backoffMillis = minOf(backoffMillis * 2, maxRetryMillis)
                    }
                },
            )
            timer.pause(delayMillis)
        }
    }

    private suspend fun renew(): Result<Unit, RenewalFailure> {
        val sentAtNanos = timer.nanoTime()
        val known = current ?: read().getOrElse { return Err(RenewalFailure.Failed(it.message)) }
        val incarnation = known?.let { VmLease.of(it).incarnation }
        if (incarnation != null && incarnation > self.incarnation) {
            heldUntilNanos = null
            return Err(RenewalFailure.Superseded(incarnation))
        }
        val spec = newLease().toSpec()
        val written = when (known) {
            null -> writer.create(ObjectKind.VM_LEASES, self.vm.value, spec)
            else -> writer.update(known, spec)
        }
        return written.fold(
            {
                current = it
                heldUntilNanos = sentAtNanos + (termMillis - marginMillis) * NANOS_PER_MILLI
                Ok(Unit)
            },
            {
                // The object is read again before the next attempt.
                current = null
                Err(RenewalFailure.Failed(it.message))
            },
        )
    }

    private suspend fun read(): Result<StoredObject?, StoreError> = store.get(ObjectKind.VM_LEASES, self.vm.value)
        .fold({ Ok(it) }, { if (it is StoreError.NotFound) Ok(null) else Err(it) })

    private fun newLease(): VmLease {
        val status = configurationStatus()
        return VmLease(
            incarnation = self.incarnation,
            failureDomain = self.failureDomain,
            peerAddress = self.peerAddress,
            httpAddress = self.httpAddress,
            termMillis = termMillis,
            renewal = ++renewal,
            appliedVersion = status.appliedVersion,
            rejectedVersion = status.rejectedVersion,
            rejectedReason = status.rejectedReason,
        )
    }

    private sealed interface RenewalFailure {
        val message: String

        data class Failed(override val message: String) : RenewalFailure

        /** A newer process on this VM holds the lease; this process must not renew it again. */
        data class Superseded(val incarnation: Long) : RenewalFailure {
            override val message: String get() = "incarnation $incarnation of this VM holds the lease"
        }
    }
}
