package ragwortbarrow.core.fleet

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class RelayPlanTest {
    private val timer = ManualTimerService()

    private fun node(domain: Int, number: Int, capacityMillicores: Int = 360) = FleetNode(
        VmId("vm-$domain-${number.toString().padStart(2, '0')}"),
        "10.$domain.0.$number:1",
        incarnation = 1,
        failureDomain = FailureDomainId("domain-$domain"),
        capacityMillicores = capacityMillicores,
    )

    private fun fleet(domains: Int, size: Int) = (0 until domains).flatMap { d -> (0 until size).map { node(d, it) } }

    private fun members(self: FleetNode, others: List<FleetNode>) = FleetMembers(self, timer).apply {
        others.filter { it.vm != self.vm }.forEach { recordContact(it, isLeaving = false) }
    }

    private fun plan(self: FleetNode, others: List<FleetNode>) = RelayPlan(members(self, others), timer)

    @Test
    fun `in a small fleet all nodes exchange states with each other`() {
        val fleet = fleet(domains = 3, size = 3)
        for (node in fleet) expectThat(plan(node, fleet).exchangePeers()).hasSize(8)
    }

    @Test
    fun `in a large fleet a node exchanges states with one relay and a relay with all relays`() {
        val fleet = fleet(domains = 3, size = 25)
        val plans = fleet.map { plan(it, fleet) }
        expectThat(plans.count { it.isRelay }).isEqualTo(9)
        for (plan in plans) expectThat(plan.exchangePeers()).hasSize(if (plan.isRelay) 8 else 1)
    }

    @Test
    fun `the nodes of a failure domain are spread over its relays`() {
        val fleet = fleet(domains = 1, size = 60)
        val relays = fleet.mapNotNull { plan(it, fleet).ownRelay()?.vm }.groupingBy { it }.eachCount()
        expectThat(relays.size).isEqualTo(RelayPlan.RELAYS)
        expectThat(relays.values.max()).isLessThan(30)
    }

    @Test
    fun `nodes with a larger CPU share are relays`() {
        val largest = listOf(node(0, 40, 1_500), node(0, 41, 1_500))
        val fleet = fleet(domains = 1, size = 20) + largest
        expectThat(plan(fleet.first(), fleet).relays(FailureDomainId("domain-0")))
            .containsExactly(largest + fleet.first())
    }

    @Test
    fun `another relay is used after two failures in a row until the first one has answered again`() {
        val fleet = fleet(domains = 1, size = 10)
        val plan = plan(fleet.last(), fleet)
        val first = expectThat(plan.ownRelay()).isNotNull().subject
        plan.recordFailure(first.vm)
        expectThat(plan.ownRelay()).isEqualTo(first)
        plan.recordFailure(first.vm)
        expectThat(plan.ownRelay()).isNotNull().isNotEqualTo(first)
        plan.recordSuccess(first.vm)
        expectThat(plan.ownRelay()).isEqualTo(first)
    }

    @Test
    fun `an unreachable failure domain is still called`() {
        val fleet = fleet(domains = 2, size = 10)
        val members = members(fleet.first(), fleet)
        val plan = RelayPlan(members, timer)
        timer.advance(5_000)
        fleet.filter { it.failureDomain.value == "domain-0" }.forEach { members.recordContact(it, isLeaving = false) }
        expectThat(plan.exchangePeers().filter { it.failureDomain.value == "domain-1" }).hasSize(RelayPlan.RELAYS)
    }

    @Test
    fun `nodes never relay each other in a cycle whatever members they know`() {
        val fleet = fleet(domains = 1, size = 30)
        val random = Random(7)
        repeat(200) {
            val relays = fleet.associateWith { node ->
                plan(node, fleet.filter { it != node && random.nextInt(4) > 0 }).ownRelay()
            }
            for (node in fleet) {
                var current = relays[node]
                var steps = 0
                while (current != null && steps <= fleet.size) {
                    current = relays[current]
                    steps++
                }
                expectThat(steps).isLessThan(fleet.size)
            }
        }
    }

    @Test
    fun `relays watch the platform, and the next nodes too if their relay can not reach it`() {
        val fleet = fleet(domains = 1, size = 10)
        val plans = fleet.map { plan(it, fleet) }
        expectThat(plans.count { it.isWatcher(isStoreReachableFromRelay = true) }).isEqualTo(RelayPlan.RELAYS)
        expectThat(plans.count { it.isWatcher(isStoreReachableFromRelay = false) }).isEqualTo(2 * RelayPlan.RELAYS)
    }

    @Test
    fun `one relay of a failure domain watches the backend servers, or the next one if it can not reach the store`() {
        val fleet = fleet(domains = 3, size = 10)
        val plans = fleet.associateWith { plan(it, fleet) }
        fun watchers(isStoreReachableFrom: (VmId) -> Boolean) =
            plans.filterValues { it.isServerWatcher(isStoreReachableFromRelay = true, isStoreReachableFrom) }.keys
        val watchers = watchers { true }
        expectThat(watchers.map { it.failureDomain.value }).containsExactly("domain-0", "domain-1", "domain-2")
        expectThat(watchers { it != watchers.first().vm }).hasSize(4).contains(fleet[1])
    }

    @Test
    fun `as many nodes of a fleet in one failure domain watch the backend servers as of one in three`() {
        val fleet = fleet(domains = 1, size = 10)
        val watchers = fleet.count { plan(it, fleet).isServerWatcher(isStoreReachableFromRelay = true) { true } }
        expectThat(watchers).isEqualTo(RelayPlan.MIN_SERVER_WATCHERS)
    }

    @Test
    fun `one node is the coordinator, and the next one if it becomes unreachable`() {
        val fleet = fleet(domains = 2, size = 4)
        val plans = fleet.map { plan(it, fleet) }
        expectThat(plans.map { it.isCoordinator() }.count { it }).isEqualTo(1)
        val members = members(fleet[1], fleet)
        timer.advance(2_000)
        fleet.drop(2).forEach { members.recordContact(it, isLeaving = false) }
        expectThat(RelayPlan(members, timer).isCoordinator()).isTrue()
    }

    @Test
    fun `the age of a relayed report counts toward the time a member is unreachable`() {
        val self = node(0, 1)
        val other = node(0, 2)
        val members = FleetMembers(self, timer)
        expectThat(members.mergeReport(MemberReport(other, ageMillis = 1_000, isLeaving = false))).isTrue()
        timer.advance(1_900)
        expectThat(members.isReachable(other.vm)).isTrue()
        expectThat(members.mergeReport(MemberReport(other, ageMillis = 2_900, isLeaving = false))).isFalse()
        timer.advance(200)
        expectThat(members.isReachable(other.vm)).isFalse()
        expectThat(members.reports().map { it.node }).contains(other)
        expectThat(plan(self, emptyList()).ownRelay()).isNull()
    }
}
