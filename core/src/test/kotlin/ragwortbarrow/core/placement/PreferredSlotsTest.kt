package ragwortbarrow.core.placement

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isIn

class PreferredSlotsTest {
    private val servers = (1..21).map {
        BackendServer(BackendServerId("server-$it"), "engines", "10.0.0.$it:80", FailureDomainId("dalton"), slots = 8)
    }
    private val nodes = (1..25).map { VmId("vm-$it") }

    @Test
    fun `every slot is assigned to one node, and all nodes get nearly the same number`() {
        val assigned = nodes.map { PreferredSlots.assign(servers, nodes, it) }
        for (server in servers) expectThat(assigned.sumOf { it[server.id] ?: 0 }).isEqualTo(server.slots)
        expectThat(assigned.map { it.values.sum() }).all { isIn(6..7) }
    }

    @Test
    fun `the slots of a node are on different servers if there are enough servers`() {
        expectThat(PreferredSlots.assign(servers, nodes, nodes[3]).values.toSet()).isEqualTo(setOf(1))
    }

    @Test
    fun `a node that is not in the list gets no slots`() {
        expectThat(PreferredSlots.assign(servers, nodes, VmId("other"))).isEqualTo(emptyMap())
    }
}
