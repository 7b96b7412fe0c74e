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
 * Deletes the `vmleases` objects of VMs that ended without releasing their lease. VM ids are never reused, so more than
 * a thousand stale objects would accumulate each day, and each withdrawal of a key would list their VMs.
 *
 * A single live node, chosen by rendezvous hashing, does the work. It deletes a lease that it has seen unchanged for
 * [expiryMillis], many times the term. The delete is conditional, and a VM that returns creates its object again.
 */
class VmLeaseSweeper(
    private val store: ObjectStore,
    private val members: MemberView,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    private val periodMillis: Long = 60_000,
    private val expiryMillis: Long = 600_000,
) {
    private var job: Job? = null
    private var unchangedSinceMillis = emptyMap<Pair<String, Long>, Long>()

    @Synchronized
    fun start() {
        if (job != null) return
        job = scope.launch {
            while (true) {
                timer.pause(periodMillis)
                if (isSweeper()) sweep() else unchangedSinceMillis = emptyMap()
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
        unchangedSinceMillis = leases.associate { it.key() to (unchangedSinceMillis[it.key()] ?: nowMillis) }
        leases.filter { nowMillis - unchangedSinceMillis.getValue(it.key()) >= expiryMillis }.forEach { lease ->
            val outcome = store.delete(ObjectKind.VM_LEASES, lease.name, lease.version).fold({
                "deleted"
            }, { it.message })
            decisionLog.record("vm_lease_sweep", "vm" to lease.name, "outcome" to outcome)
        }
    }

    private fun StoredObject.key() = name to version
}
