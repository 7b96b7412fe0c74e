package ragwortbarrow.core.membership

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn

/** Tests that keys are reassigned only if their VM is lost. */
class RendezvousHashTest {
    private val vms = (1..9).map { "vm-$it" }

    @Test
    fun `losing a candidate reassigns only its own keys`() {
        val before = (1..1_000).associate { "key-$it" to RendezvousHash.choose("key-$it", vms) { vm -> vm } }
        val after = before.mapValues { (key, _) -> RendezvousHash.choose(key, vms - "vm-4") { vm -> vm } }
        val moved = before.filter { (key, vm) -> after[key] != vm }
        expectThat(moved.values.toSet()).isEqualTo(setOf("vm-4"))
        expectThat(moved.size).isIn(60..170)
    }
}
