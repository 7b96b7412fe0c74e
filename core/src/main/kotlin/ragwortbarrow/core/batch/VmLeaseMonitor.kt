package ragwortbarrow.core.batch

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.Serializable
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService

/** The fields of a `vmleases` object that determine whether its VM still holds the lease. */
@Serializable
internal data class VmLeaseFields(val incarnation: Long, val termMillis: Long, val renewal: Long)

/**
 * Detects that the process on another VM has lost its lease. A lease has expired once it has been read unchanged for
 * its term plus a margin by this process's monotonic clock; timestamps of other machines are never compared.
 *
 * Only leases of suspected VMs are read, so a healthy fleet causes no platform calls.
 */
internal class VmLeaseMonitor(
    private val store: ObjectStore,
    private val timer: TimerService,
    private val marginMillis: Long = 2_000,
    /** The term of a VM that has no lease object. */
    private val defaultTermMillis: Long = 30_000,
) {
    private val observations = HashMap<VmId, Observation>()

    /**
     * Reads the leases of the suspected [vms] and forgets all others. A lease is read when its VM is first suspected
     * and again when it may have expired; leases of VMs in [restarted], which are live with another incarnation, are
     * read each time.
     */
    suspend fun refresh(vms: Set<VmId>, restarted: Set<VmId> = emptySet()) {
        observations.keys.retainAll(vms)
        val due = vms.filter { it in restarted || isReadDue(it) }
        if (due.isEmpty()) return
        if (due.size <= MAX_SINGLE_READS) {
            due.forEach { vm ->
                val requestedAtNanos = timer.nanoTime()
                recordRead(vm, store.get(ObjectKind.VM_LEASES, vm.value), requestedAtNanos)
            }
        } else {
            val requestedAtNanos = timer.nanoTime()
            val leases = BatchReader(store).listAll(ObjectKind.VM_LEASES, emptyMap(), metadataOnly = false)
                .getOrElse { return }
                .associateBy { it.name }
            due.forEach { recordFields(it, leases[it.value]?.record(), requestedAtNanos) }
        }
    }

    /** Whether, as of the last read, the process of [vm] with [incarnation] can no longer hold its lease. */
    fun isLost(vm: VmId, incarnation: Long): Boolean {
        val observation = observations[vm] ?: return false
        val observed = observation.fields?.incarnation ?: return observation.hasExpired
        return observed > incarnation || (observed == incarnation && observation.hasExpired)
    }

    private fun recordRead(vm: VmId, read: Result<StoredObject, StoreError>, requestedAtNanos: Long) {
        read.onSuccess { recordFields(vm, it.record(), requestedAtNanos) }
        read.onFailure { if (it is StoreError.NotFound) recordFields(vm, null, requestedAtNanos) }
    }

    private fun recordFields(vm: VmId, fields: VmLeaseFields?, requestedAtNanos: Long) {
        val previous = observations[vm]
        if (previous == null || previous.fields != fields) {
            observations[vm] = Observation(fields, unchangedSinceNanos = timer.nanoTime())
            return
        }
        previous.hasExpired = requestedAtNanos - previous.unchangedSinceNanos >= expiryNanos(previous)
    }

    private fun isReadDue(vm: VmId): Boolean {
        val observation = observations[vm] ?: return true
        return timer.nanoTime() - observation.unchangedSinceNanos >= expiryNanos(observation)
    }

    private fun expiryNanos(observation: Observation): Long =
        ((observation.fields?.termMillis ?: defaultTermMillis) + marginMillis) * NANOS_PER_MILLI

    private class Observation(
        val fields: VmLeaseFields?,
        val unchangedSinceNanos: Long,
        var hasExpired: Boolean = false,
    )

    private companion object {
        /** Up to this number, single reads cost less than listing every lease. */
        const val MAX_SINGLE_READS = 4
    }
}
