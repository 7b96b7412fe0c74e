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

/** The fields of a `vmleases` object that decide whether its VM still holds the lease. */
@Serializable
internal data class VmLeaseFields(val incarnation: Long, val termMillis: Long, val renewal: Long)

/**
 * Decides whether the process of another VM has lost its lease. A lease has lapsed when it was read unchanged over its
 * term plus a margin by this process's own monotonic clock; dates of other machines are never compared.
 *
 * Only VMs that are suspected are read, so a healthy fleet causes no calls.
 */
internal class VmLeaseWatch(
    private val store: ObjectStore,
    private val timer: TimerService,
    private val marginMillis: Long = 2_000,
    /** The term assumed for a VM without a lease object. */
    private val defaultTermMillis: Long = 30_000,
) {
    private val observations = HashMap<VmId, Observation>()

    /**
     * Reads the leases of [vms] and forgets all others. A lease is read when it is first suspected and again when it
     * may have lapsed; those of VMs in [restarted], whose newer incarnation was seen elsewhere, are read each time.
     */
    suspend fun observe(vms: Set<VmId>, restarted: Set<VmId> = emptySet()) {
        observations.keys.retainAll(vms)
        val due = vms.filter { it in restarted || isDue(it) }
        if (due.isEmpty()) return
        if (due.size <= MAX_SINGLE_READS) {
            due.forEach { vm ->
                val sentNanos = timer.nanoTime()
                note(vm, store.get(ObjectKind.VM_LEASES, vm.value), sentNanos)
            }
        } else {
            val sentNanos = timer.nanoTime()
            val leases = BatchReader(store).all(ObjectKind.VM_LEASES, emptyMap(), metadataOnly = false)
                .getOrElse { return }
                .associateBy { it.name }
            due.forEach { noteFields(it, leases[it.value]?.record(), sentNanos) }
        }
    }

    /** Whether the process of [vm] with [incarnation] can no longer hold its lease, as of the last read. */
    fun isLost(vm: VmId, incarnation: Long): Boolean {
        val observation = observations[vm] ?: return false
        val seen = observation.fields?.incarnation ?: return observation.lapsed
        return seen > incarnation || (seen == incarnation && observation.lapsed)
    }

    private fun note(vm: VmId, read: Result<StoredObject, StoreError>, sentNanos: Long) {
        read.onSuccess { noteFields(vm, it.record(), sentNanos) }
        read.onFailure { if (it is StoreError.NotFound) noteFields(vm, null, sentNanos) }
    }

    private fun noteFields(vm: VmId, fields: VmLeaseFields?, sentNanos: Long) {
        val earlier = observations[vm]
        if (earlier == null || earlier.fields != fields) {
            observations[vm] = Observation(fields, sinceNanos = timer.nanoTime())
            return
        }
        earlier.lapsed = sentNanos - earlier.sinceNanos >= lapseNanos(earlier)
    }

    private fun isDue(vm: VmId): Boolean {
        val observation = observations[vm] ?: return true
        return timer.nanoTime() - observation.sinceNanos >= lapseNanos(observation)
    }

    private fun lapseNanos(observation: Observation): Long =
        ((observation.fields?.termMillis ?: defaultTermMillis) + marginMillis) * NANOS_PER_MILLI

    private class Observation(val fields: VmLeaseFields?, val sinceNanos: Long, var lapsed: Boolean = false)

    private companion object {
        /** Up to here single reads cost less than a list of every lease. */
        const val MAX_SINGLE_READS = 4
    }
}
