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
 * Watches the platform's VM list for VMs that are leaving. The list lags behind the actual state, so it is only used to
 * send no new work to a backend server; it does not show whether a node is alive.
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
        onListed = { page -> leaving.set(page.items.mapNotNull { it.leavingVm() }.toSet()) },
        decisionLog = decisionLog,
        // Every node watches this list; with 410 nodes this makes 41 reads per second.
        confirmMillis = 10_000,
    )

    fun start(): Unit = watcher.start()

    fun stop(): Unit = watcher.stop()

    /** Whether the VM of [server] is leaving; the VM is identified by the server's id or by its HTTP address. */
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
