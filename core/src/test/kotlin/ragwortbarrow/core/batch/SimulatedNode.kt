package ragwortbarrow.core.batch

import com.github.michaelbull.result.Result
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendClient
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectPage
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.WatchEvent
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import kotlin.coroutines.resume

/**
 * A node that can be killed or frozen between any two of its steps. Calls it has already sent still take effect, but it
 * does not receive any reply until it is unfrozen.
 */
internal class SimulatedNode(private val fleet: SimulatedFleet, val info: MemberInfo) {
    var killed = false
        private set
    var frozen = false
        private set
    private val deferredActions = ArrayList<() -> Unit>()

    val runtime: BatchRuntime = BatchRuntime(
        self = info,
        timer = GatedTimer(),
        store = GatedStore(),
        client = GatedClient(),
        connector = { address ->
            PeerStub { report ->
                awaitRunnable()
                fleet.nodes.values.firstOrNull { it.info.peerAddress == address }?.runtime?.acceptOnlineLoad(report)
            }
        },
        members = fleet.members(info),
        configuration = fleet,
        decisions = NO_LOG,
        scope = fleet.scope,
        settings = fleet.settings,
    )

    fun start() {
        renewLease(0)
        runtime.start()
    }

    fun kill() {
        killed = true
    }

    fun freeze() {
        frozen = true
    }

    fun unfreeze() {
        frozen = false
        val actions = deferredActions.toList()
        deferredActions.clear()
        actions.forEach { it() }
    }

    private fun renewLease(renewal: Long) {
        if (killed) return
        if (!frozen) {
            val spec = VmLeaseFields(info.incarnation, 30_000, renewal).toSpec()
            fleet.store.put(ObjectKind.VM_LEASES, info.vm.value, spec)
        }
        fleet.timer.once(10_000) { renewLease(renewal + 1) }
    }

    private suspend fun awaitRunnable() {
        if (killed) awaitCancellation()
        if (frozen) suspendCancellableCoroutine { waiting -> deferredActions += { waiting.resume(Unit) } }
        if (killed) awaitCancellation()
    }

    private inner class GatedTimer : TimerService {
        override fun nanoTime() = fleet.timer.nanoTime()

        override fun wallMillis() = fleet.timer.wallMillis()

        override fun once(delayMillis: Long, action: () -> Unit) = fleet.timer.once(delayMillis) { gated(action) }

        override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription =
            fleet.timer.every(periodMillis) { if (!frozen) gated(action) }

        private fun gated(action: () -> Unit) {
            if (frozen) {
                deferredActions += { gated(action) }
            } else if (!killed) {
                action()
            }
        }
    }

    private inner class GatedStore : ObjectStore {
        override suspend fun get(kind: ObjectKind, name: String) = gated { fleet.platform.get(kind, name) }

        override suspend fun list(
            kind: ObjectKind,
            labels: Map<String, String>,
            limit: Int,
            continueToken: String?,
            metadataOnly: Boolean,
        ): Result<ObjectPage, StoreError> = gated {
            fleet.platform.list(kind, labels, limit, continueToken, metadataOnly)
        }

        override suspend fun create(
            kind: ObjectKind,
            name: String,
            spec: JsonObject,
            labels: Map<String, String>,
        ): Result<StoredObject, StoreError> = gated { fleet.platform.create(kind, name, spec, labels) }

        override suspend fun update(
            kind: ObjectKind,
            name: String,
            expectedVersion: Long,
            spec: JsonObject,
            labels: Map<String, String>,
        ): Result<StoredObject, StoreError> = gated { fleet.platform.update(kind, name, expectedVersion, spec, labels) }

        override suspend fun delete(kind: ObjectKind, name: String, expectedVersion: Long) =
            gated { fleet.platform.delete(kind, name, expectedVersion) }

        override fun watch(kind: ObjectKind, fromVersion: Long, metadataOnly: Boolean): Flow<WatchEvent> = flow {
            awaitRunnable()
            fleet.platform.watch(kind, fromVersion, metadataOnly).collect {
                awaitRunnable()
                emit(it)
            }
        }

        private suspend fun <T> gated(call: suspend () -> T): T {
            awaitRunnable()
            val reply = call()
            awaitRunnable()
            return reply
        }
    }

    private inner class GatedClient : BackendClient {
        override suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome {
            awaitRunnable()
            return fleet.engines.run(server, request).also { awaitRunnable() }
        }

        override fun stream(server: BackendServer, request: BackendRequest) = error("batch items are not streamed")

        override fun resume(server: BackendServer, requestId: RequestId, fromOffset: Long) =
            error("batch items are not streamed")

        override suspend fun cancel(server: BackendServer, requestId: RequestId) {
            awaitRunnable()
            fleet.engines.cancel(server, requestId)
        }

        override suspend fun fetchLoadReport(server: BackendServer): Result<LoadReport, ServingError> {
            awaitRunnable()
            return fleet.engines.load(server)
        }
    }
}
