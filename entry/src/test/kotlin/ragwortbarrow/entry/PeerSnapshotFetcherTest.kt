package ragwortbarrow.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Test
import ragwortbarrow.core.fleet.ActivitySummary
import ragwortbarrow.core.fleet.FleetConnector
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.placement.Evacuations
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class PeerSnapshotFetcherTest {
    private val timer = ManualTimerService()
    private val tracker = ServerTracker(timer)
    private var fetches = 0
    private val evacuations = evacuations()
    private val evacuationsOfPeer = evacuations()
    private val fetcher = PeerSnapshotFetcher(
        FleetConnector { Peer() },
        sharedStateOf(tracker, timer, evacuations = evacuations),
        timer,
        CoroutineScope(Dispatchers.Unconfined),
        DecisionLog.NONE,
    )

    private inner class Peer : UnusedPeer() {
        override suspend fun fetchSnapshot(kind: SnapshotKind): Result<Snapshot, PeerError> {
            fetches++
            if (kind == SnapshotKind.EVACUATIONS) return Ok(evacuationsOfPeer.snapshot)
            return Err(PeerError.Unreachable("gone"))
        }
    }

    private fun evacuations() = Evacuations({ FailureDomainId(it.name) }, DecisionLog.NONE)

    private fun state(version: Long) = NodeState(
        sender = FleetNode(VmId("peer"), "10.0.0.1:1", incarnation = 1, failureDomain = FailureDomainId("dalton")),
        isLeaving = false,
        configurationVersion = version,
        serversRevision = 0,
        activity = ActivitySummary(),
        members = emptyList(),
        cancelledJobs = emptyList(),
        isRelayed = false,
        isStoreReachable = true,
        evacuationsRevision = evacuationsOfPeer.revision,
    )

    /** A watch on an unreachable store may neither fail nor deliver changes. */
    @Test
    fun `a watching node asks a newer peer although other peers are as far behind as itself`() {
        repeat(5) {
            fetcher.fetchIfBehind(state(version = 3), isWatcher = true)
            fetcher.fetchIfBehind(state(version = 0), isWatcher = true)
            timer.advance(200)
        }
        expectThat(fetches).isGreaterThan(0)
    }

    /** The store is away: nodes learn of changes only from each other. */
    @Test
    fun `a node learns from a peer that an evacuation has begun and ended`() {
        evacuationsOfPeer.update(StoredObject(ObjectKind.EVACUATIONS, "dalton", 5, JsonObject(emptyMap())))
        repeat(3) { fetcher.fetchIfBehind(state(version = 0), isWatcher = false) }
        expectThat(evacuations.domains).containsExactly(FailureDomainId("dalton"))
        expectThat(fetches).isEqualTo(1)
        evacuationsOfPeer.remove("dalton", 6)
        fetcher.fetchIfBehind(state(version = 0), isWatcher = false)
        expectThat(evacuations.domains).isEmpty()
    }

    @Test
    fun `a watching node waits for the platform before it asks a peer`() {
        fetcher.fetchIfBehind(state(version = 3), isWatcher = true)
        expectThat(fetches).isEqualTo(0)
        fetcher.fetchIfBehind(state(version = 3), isWatcher = false)
        expectThat(fetches).isEqualTo(1)
    }
}
