package ragwortbarrow.core.placement

import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectPage
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class EvacuationsTest {
    private val dalton = FailureDomainId("dalton")
    private val calhoun = FailureDomainId("calhoun")
    private val events = ArrayList<String>()
    private val ended = ArrayList<Pair<FailureDomainId, Long>>()
    private val evacuations = evacuations()

    private fun evacuations() = Evacuations(
        { entry -> FailureDomainId(entry.name).takeIf { entry.name != "?" } },
        DecisionLog { event, _ -> events += event },
    ).also { it.onEnded = { domain, revision -> ended += domain to revision } }

    private fun entry(name: String, version: Long) =
        StoredObject(ObjectKind.EVACUATIONS, name, version, JsonObject(emptyMap()))

    private fun list(revision: Long, vararg entries: StoredObject) = ObjectPage(entries.toList(), revision)

    @Test
    fun `the servers of an evacuated domain get no request until it is taken back, also if all others have failed`() {
        val timer = ManualTimerService()
        val tracker = ServerTracker(timer)
        val servers = listOf(dalton, calhoun).map {
            BackendServer(BackendServerId("in-$it"), "engines", "10.0.0.1:80", it, slots = 8)
        }
        tracker.replace(servers)
        evacuations.onChanged = { tracker.evacuatedDomains = it }
        evacuations.update(entry("dalton", 5))
        val placement = OnlinePlacement(tracker, LatencyEstimates(), dalton, timer)
        val request = PlacementRequest("engines", 300.0, remainingDeadlineMillis = 5_000)
        expectThat(placement.place(request)).isEqualTo(Placement.Send(servers[1], 0.0))
        expectThat(BatchPlacement(tracker, dalton).place("engines", Slack.NONE)).isEqualTo(servers[1])
        expectThat(placement.place(request.copy(excludedServers = setOf(servers[1].id))))
            .isEqualTo(Placement.NoServer(1_000))
        evacuations.remove("dalton", 6)
        expectThat(tracker.eligible("engines")).containsExactly(servers)
        expectThat(ended).containsExactly(dalton to 6L)
        expectThat(events).containsExactly("evacuation_begun", "evacuation_ended")
    }

    @Test
    fun `an older list or change brings nothing back`() {
        evacuations.update(entry("dalton", 5))
        evacuations.replaceAll(list(4))
        expectThat(evacuations.domains).containsExactly(dalton)
        evacuations.replaceAll(list(9))
        evacuations.update(entry("dalton", 5))
        evacuations.replaceAll(list(7, entry("dalton", 5)))
        expectThat(evacuations.domains).isEmpty()
        expectThat(ended).containsExactly(dalton to 9L)
    }

    /** The store is away, and the node that restarts knows nothing of its own. */
    @Test
    fun `a node that restarts takes the newest evacuations of its peers, and a peer's older ones change nothing`() {
        evacuations.replaceAll(list(5, entry("dalton", 5)))
        val newer = evacuations()
        newer.replaceAll(list(8, entry("calhoun", 7)))
        val restarted = evacuations()
        restarted.tryApply(evacuations.snapshot, "peer")
        expectThat(restarted.domains).containsExactly(dalton)
        restarted.tryApply(newer.snapshot, "peer")
        restarted.tryApply(evacuations.snapshot, "peer")
        expectThat(restarted.domains).containsExactly(calhoun)
        expectThat(restarted.revision).isEqualTo(newer.revision)
    }

    /** Whoever saw the end of the evacuation is gone. */
    @Test
    fun `a node that listed none tells a peer that still holds an ended one`() {
        evacuations.update(entry("dalton", 5))
        val listed = evacuations()
        listed.replaceAll(list(9))
        listed.notePeer(evacuations.revision)
        evacuations.tryApply(listed.snapshot, "peer")
        expectThat(evacuations.domains).isEmpty()
    }

    @Test
    fun `an unreadable entry leaves a line and does not hide others`() {
        evacuations.replaceAll(list(5, entry("?", 4), entry("dalton", 5)))
        expectThat(evacuations.domains).containsExactly(dalton)
        expectThat(events).containsExactly("evacuation_unreadable", "evacuation_begun")
    }
}
