package ragwortbarrow.core.membership

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.listAll
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.core.time.pause

/**
 * Deletes the `vmleases` objects of VMs that are gone without a release. VM ids are never used again, so without it
 * more than a thousand dead objects would remain each day, and each withdrawal of a key would name their VMs.
 *
 * One live node does it, chosen by rendezvous hashing. A lease is deleted when this node has seen it unchanged for
 * [forgetMillis], many times the term; the delete is conditional, and a VM that comes back creates its object again.
 */
class VmLeaseSweeper(
    private val store: ObjectStore,
    private val members: MemberView,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    private val periodMillis: Long = 60_000,
    private val forgetMillis: Long = 600_000,
) {
    private var job: Job? = null
    private var seen = emptyMap<Pair<String, Long>, Long>()

    @Synchronized
    fun start() {
        if (job != null) return
        job = scope.launch {
            while (true) {
                timer.pause(periodMillis)
                if (isSweeper()) sweep() else seen = emptyMap()
            }
        }
    }

    @Synchronized
    fun stop() {
        job?.cancel()
        job = null
    }

    private fun isSweeper(): Boolean =
        RendezvousHash.choose("vm-lease-sweeper", members.live()) { it.vm.value }?.vm == members.self.vm

    private suspend fun sweep() {
        val leases = store.listAll(ObjectKind.VM_LEASES, metadataOnly = true).getOrElse { return }.items
        val nowMillis = timer.monotonicMillis()
        seen = leases.associate { it.key() to (seen[it.key()] ?: nowMillis) }
        leases.filter { nowMillis - seen.getValue(it.key()) >= forgetMillis }.forEach { lease ->
            val outcome = store.delete(ObjectKind.VM_LEASES, lease.name, lease.version).fold({
                "deleted"
            }, { it.message })
            decisionLog.record("vm_lease_sweep", "vm" to lease.name, "outcome" to outcome)
        }
    }

    private fun StoredObject.key() = name to version
}
