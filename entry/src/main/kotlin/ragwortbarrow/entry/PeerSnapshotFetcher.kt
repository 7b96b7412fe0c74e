package ragwortbarrow.entry

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.fleet.FleetConnector
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.time.TimerService

/**
 * Fetches the configuration, the list of backend servers and the evacuations from a peer with a newer version. A node
 * that watches the platform waits first, since it mostly receives the change from the platform itself.
 */
internal class PeerSnapshotFetcher(
    private val connector: FleetConnector,
    private val shared: FleetStateExchange.SharedState,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
) {
    /** Time since which a version newer than this node's [version] is known. */
    private class Lag(val version: Long, val sinceNanos: Long)

    private val lags = HashMap<SnapshotKind, Lag>()
    private val fetching = HashSet<SnapshotKind>()

    /** Fetches what is newer according to the [state] of a peer. */
    fun fetchIfBehind(state: NodeState, isWatcher: Boolean, isServerWatcher: Boolean = isWatcher) {
        fetchIfNewer(
            SnapshotKind.CONFIGURATION,
            state,
            state.configurationVersion,
            shared.configuration.version,
            isWatcher,
        )
        fetchIfNewer(SnapshotKind.SERVERS, state, state.serversRevision, shared.servers.revision, isServerWatcher)
        val evacuations = shared.evacuations
        evacuations.notePeer(state.evacuationsRevision)
        fetchIfNewer(
            SnapshotKind.EVACUATIONS,
            state,
            state.evacuationsRevision,
            evacuations.knownRevision,
            isWatcher,
        )
    }

    private fun fetchIfNewer(
        kind: SnapshotKind,
        state: NodeState,
        peerVersion: Long,
        ownVersion: Long,
        isWatcher: Boolean,
    ) {
        if (peerVersion <= ownVersion) return
        val nowNanos = timer.nanoTime()
        // Only a newer version on this node restarts the wait; states of peers that are also behind do not.
        val lag = lags[kind]?.takeIf { it.version == ownVersion } ?: Lag(ownVersion, nowNanos).also { lags[kind] = it }
        if (isWatcher && nowNanos - lag.sinceNanos < WATCH_DELAY_NANOS) return
        if (!fetching.add(kind)) return
        scope.launch {
            try {
                fetchSnapshot(kind, state)
            } finally {
                fetching.remove(kind)
                lags.remove(kind)
            }
        }
    }

    private suspend fun fetchSnapshot(kind: SnapshotKind, state: NodeState) =
        connector.connect(state.sender.address).fetchSnapshot(kind).fold(
            { applySnapshot(kind, it, state.sender.vm) },
            { log.record("snapshot_failed", "kind" to kind, "vm" to state.sender.vm, "reason" to it) },
        )

    private fun applySnapshot(kind: SnapshotKind, snapshot: Snapshot, from: VmId) = when (kind) {
        SnapshotKind.CONFIGURATION -> shared.configuration.tryApply(snapshot.document, "peer $from")
        SnapshotKind.SERVERS -> shared.servers.tryApply(snapshot)
        SnapshotKind.EVACUATIONS -> shared.evacuations.tryApply(snapshot, "peer $from")
    }

    private companion object {
        /** How long the platform's watch may lag behind a peer before the peer is asked; about one call. */
        const val WATCH_DELAY_NANOS = 400_000_000L
    }
}
