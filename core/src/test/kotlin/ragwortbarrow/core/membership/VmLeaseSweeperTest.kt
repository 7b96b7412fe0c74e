package ragwortbarrow.core.membership

import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import ragwortbarrow.core.config.TestFleet
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.storeJson
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder

/** Tests that leases of lost VMs are deleted and leases that are still renewed are kept. */
class VmLeaseSweeperTest {
    @Test
    fun `a lease that is not renewed is deleted after the limit and a renewed one is kept`() = runTest {
        val fleet = TestFleet(this)
        val node = fleet.addNode("vm-1")
        VmLeaseSweeper(fleet.store, node, fleet.timer, backgroundScope).start()
        fun renew(name: String, renewal: Int) =
            fleet.store.put(ObjectKind.VM_LEASES, name, storeJson.decodeFromString("""{"renewal":$renewal}"""))
        renew("vm-dead", 1)
        repeat(65) { renewal ->
            renew("vm-1", renewal)
            fleet.run(10_000)
            if (renewal == 50) expectThat(names(fleet)).containsExactlyInAnyOrder("vm-1", "vm-dead")
        }
        fleet.run(60_000)
        expectThat(names(fleet)).containsExactly("vm-1")
    }

    private suspend fun names(fleet: TestFleet) = fleet.store.list(ObjectKind.VM_LEASES).unwrap().items.map { it.name }
}
