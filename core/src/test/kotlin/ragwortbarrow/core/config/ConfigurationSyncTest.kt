package ragwortbarrow.core.config

import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import ragwortbarrow.core.store.ObjectKind
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan

/** Guards guarantee 13: an accepted configuration is active on all nodes within seconds and never reverts. */
class ConfigurationSyncTest {
    @Test
    fun `a published configuration reaches every node without waiting for periodic gossip`() = runTest {
        val fleet = TestFleet(this)
        repeat(40) { fleet.addNode("vm-$it", if (it < 20) "dalton" else "calhoun", peerCheckMillis = 60_000) }
        fleet.run(4_000)
        fleet.publisher("operator").publish(manifestOf()).unwrap()
        // No periodic check runs in this time, so nodes that do not watch can only learn of it by an announcement.
        fleet.run(200)
        expectThat(fleet.nodes.map { it.version }).all { isEqualTo(1L) }
        expectThat(fleet.nodes.map { it.holder.current?.manifest?.customers?.size }).all { isEqualTo(8) }
    }

    @Test
    fun `a node that restarts during an outage loads the configuration from its peers alone`() = runTest {
        val fleet = TestFleet(this)
        val nodes = List(3) { fleet.addNode("vm-$it") }
        fleet.publisher("operator").publish(manifestOf()).unwrap()
        fleet.run(2_000)
        fleet.faults.outage = true
        fleet.remove(nodes[0])
        val restarted = fleet.addNode("vm-0")
        fleet.run(3_000)
        expectThat(restarted.version).isEqualTo(1L)
    }

    @Test
    fun `a node that joins with a stale platform read does not apply the old version`() = runTest {
        val fleet = TestFleet(this)
        fleet.addNode("vm-0")
        fleet.publisher("operator").publish(manifestOf()).unwrap()
        val stale = fleet.store.copy()
        fleet.publisher("operator").publish(manifestOf(customers = 9)).unwrap()
        fleet.run(2_000)
        val joining = fleet.addNode("vm-1", store = stale)
        fleet.run(3_000)
        expectThat(joining.version).isEqualTo(2L)
        expectThat(joining.holder.isCandidate(1)).isFalse()
    }

    @Test
    fun `nodes that do not watch make no calls to the platform`() = runTest {
        val fleet = TestFleet(this)
        repeat(20) { fleet.addNode("vm-$it") }
        fleet.run(4_000)
        val before = fleet.store.calls
        fleet.run(10_000)
        // Two watchers with three watches each, confirmed every 2 s, make 30 calls; the other 18 nodes make none.
        expectThat(fleet.store.calls - before).isLessThan(40)
    }

    @Test
    fun `an isolated node gets a configuration published meanwhile when it is connected again`() = runTest {
        val fleet = TestFleet(this)
        val nodes = List(3) { fleet.addNode("vm-$it") }
        fleet.publisher("operator").publish(manifestOf()).unwrap()
        fleet.run(2_000)
        val isolated = nodes[2]
        fleet.isolated += isolated.vm
        fleet.faults.outage = true
        fleet.run(2_000)
        fleet.faults.outage = false
        fleet.publisher("operator").publish(manifestOf(customers = 9)).unwrap()
        fleet.run(5_000)
        fleet.isolated.clear()
        fleet.run(3_000)
        expectThat(fleet.nodes.map { it.version }).all { isEqualTo(2L) }
    }

    @Test
    fun `changing one customer changes one part only`() = runTest {
        val fleet = TestFleet(this)
        fleet.addNode("vm-0")
        fleet.publisher("operator").publish(manifestOf(customers = 660, servers = 2_900)).unwrap()
        fleet.run(3_000)
        val changed = manifestOf(customers = 660, servers = 2_900).let { manifest ->
            manifest.copy(customers = manifest.customers.map { if (it.burst == 20) it.copy(weight = 2) else it })
        }
        val published = fleet.publisher("operator").publish(changed).unwrap()
        expectThat(published.changedParts).isEqualTo(1)
        expectThat(fleet.store.list(ObjectKind.CONFIGURATION_PARTS).unwrap().items.size).isEqualTo(194)
    }
}
