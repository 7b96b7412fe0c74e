package ragwortbarrow.core.membership

import kotlinx.coroutines.CoroutineScope
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.store.KindWatcher
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.atomic.AtomicReference

/**
 * Follows the platform's list of VMs for those that are leaving. The list lags behind the real state, so it only keeps
 * new work away from a backend server; it proves nothing about a node.
 */
class LeavingVmWatcher(store: ObjectStore, timer: TimerService, scope: CoroutineScope, decisionLog: DecisionLog) {
    private val leaving = AtomicReference<Set<LeavingVm>>(emptySet())
    private val watcher = KindWatcher(
        kind = ObjectKind.VMS,
        store = store,
        timer = timer,
        scope = scope,
        isElected = { true },
        onChanged = { update(it) },
        onListed = { objects -> leaving.set(objects.mapNotNull { it.leavingVm() }.toSet()) },
        decisionLog = decisionLog,
        // Every node follows this list; at 410 nodes this is 41 reads a second.
        confirmMillis = 10_000,
    )

    fun start(): Unit = watcher.start()

    fun stop(): Unit = watcher.stop()

    /** Whether the VM of [server] is leaving: the VM with its id, or the VM that has its address. */
    fun isLeaving(server: BackendServerId, configuration: ConfigurationSnapshot?): Boolean {
        val known = leaving.get()
        if (known.isEmpty()) return false
        val address = configuration?.backendServers?.get(server)?.url?.substringAfter("://")?.substringBefore('/')
        return known.any { it.vm == server.value || address != null && it.httpAddress == address }
    }

    private fun update(stored: StoredObject) {
        val vm = stored.leavingVm()
        leaving.updateAndGet { known ->
            val others = known.filterTo(HashSet()) { it.vm != stored.name }
            if (vm == null) others else others + vm
        }
    }

    private fun StoredObject.leavingVm(): LeavingVm? = if ((spec["leaving"] as? JsonPrimitive)?.booleanOrNull == true) {
        LeavingVm(name, (spec["httpAddress"] as? JsonPrimitive)?.contentOrNull.orEmpty())
    } else {
        null
    }

    private data class LeavingVm(val vm: String, val httpAddress: String)
}
