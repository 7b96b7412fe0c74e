package ragwortbarrow.core.keys

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import ragwortbarrow.core.config.TestFleet
import ragwortbarrow.core.config.TestNode
import ragwortbarrow.core.config.manifestOf
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.manifest.CutOffKeys
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.store.ObjectKind
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards guarantee 6: a withdrawn key stops working within seconds, also in an outage or partition. */
class KeySyncTest {
    private val grant = KeyGrant(KeyId("k1"), CustomerId("customer-1"), sha256Hex("secret"))

    @Test
    fun `a grant and its withdrawal on the platform reach every node`() = runTest {
        val fleet = fleetWithKey()
        expectThat(fleet.nodes.map { it.refusal() }).all { isNull() }
        fleet.writer("operator").create(ObjectKind.KEY_TOMBSTONES, "k1", KeyObjects.tombstoneSpec).unwrap()
        fleet.run(1_000)
        expectThat(fleet.nodes.map { it.refusal() }).all { isEqualTo(ResultCode.KEY_WITHDRAWN) }
    }

    @Test
    fun `a withdrawal sent to one node during an outage reaches all nodes and later the platform`() = runTest {
        val fleet = fleetWithKey()
        fleet.faults.outage = true
        fleet.nodes.last().keys.updateKeys(KeyUpdate(tombstones = listOf(grant.id)))
        fleet.run(3_000)
        expectThat(fleet.nodes.map { it.refusal() }).all { isEqualTo(ResultCode.KEY_WITHDRAWN) }
        fleet.faults.outage = false
        fleet.run(5_000)
        val tombstones = fleet.store.list(ObjectKind.KEY_TOMBSTONES).unwrap().items.map { it.name }
        expectThat(tombstones).containsExactly("k1")
    }

    @Test
    fun `a node that joins during an outage refuses keys until it has the complete state of a peer`() = runTest {
        val fleet = fleetWithKey()
        fleet.faults.outage = true
        fleet.isolated += fleet.nodes.map { it.vm }
        val joining = fleet.addNode("vm-9")
        fleet.run(500)
        expectThat(joining.refusal("another")).isEqualTo(ResultCode.KEY_STATE_STALE)
        fleet.isolated.clear()
        fleet.run(3_000)
        expectThat(joining.refusal()).isNull()
        expectThat(joining.refusal("another")).isEqualTo(ResultCode.KEY_UNKNOWN)
    }

    @Test
    fun `an isolated node refuses keys when its state is older than the limit`() = runTest {
        val fleet = fleetWithKey()
        val node = fleet.nodes.first()
        fleet.isolated += node.vm
        fleet.faults.outage = true
        fleet.run(7_000)
        expectThat(node.refusal()).isNull()
        fleet.run(5_000)
        expectThat(node.refusal()).isEqualTo(ResultCode.KEY_STATE_STALE)
        expectThat(node.ring.isWithdrawn(grant)).isTrue()
    }

    @Test
    fun `an isolated node continues serving if the manifest allows it`() = runTest {
        val fleet = fleetWithKey(CutOffKeys.SERVE)
        fleet.isolated += fleet.nodes.first().vm
        fleet.faults.outage = true
        fleet.run(20_000)
        expectThat(fleet.nodes.first().refusal()).isNull()
    }

    @Test
    fun `a second grant of a withdrawn key does not make it valid again`() = runTest {
        val fleet = fleetWithKey()
        val node = fleet.nodes.first()
        node.keys.updateKeys(KeyUpdate(tombstones = listOf(grant.id)))
        node.keys.updateKeys(KeyUpdate(grants = listOf(grant.copy(id = KeyId("k2")))))
        expectThat(node.refusal()).isEqualTo(ResultCode.KEY_WITHDRAWN)
    }

    @Test
    fun `key rings that merge the same updates in different orders are equal`() = runTest {
        val fleet = TestFleet(this)
        val updates = listOf(
            KeyUpdate(grants = listOf(grant)),
            KeyUpdate(grants = listOf(grant.copy(customer = CustomerId("customer-2")))),
            KeyUpdate(tombstones = listOf(KeyId("k3"))),
            KeyUpdate(grants = listOf(grant.copy(id = KeyId("k3")))),
        )
        val rings = listOf(updates, updates.reversed(), updates + updates).mapIndexed { index, order ->
            fleet.addNode("vm-$index").ring.also { ring -> order.forEach { ring.merge(it) } }
        }
        expectThat(rings.map { it.digest }.toSet()).get { size }.isEqualTo(1)
    }

    private suspend fun TestScope.fleetWithKey(policy: CutOffKeys = CutOffKeys.REFUSE): TestFleet {
        val fleet = TestFleet(this)
        repeat(3) { fleet.addNode("vm-$it", "dalton") }
        repeat(3) { fleet.addNode("vm-${it + 3}", "calhoun") }
        val manifest = manifestOf(domains = listOf("dalton", "calhoun"))
        fleet.publisher("operator").publish(manifest.copy(fleet = manifest.fleet.copy(cutOffKeys = policy))).unwrap()
        fleet.writer("operator").create(ObjectKind.KEY_GRANTS, "k1", KeyObjects.specOf(grant)).unwrap()
        fleet.run(3_000)
        return fleet
    }

    private fun TestNode.refusal(key: String = "secret") = ring.authenticate(key).getError()?.code
}
