package ragwortbarrow.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.junit.jupiter.api.Test
import ragwortbarrow.core.allowance.CustomerRateLimiter
import ragwortbarrow.core.fleet.FleetConnector
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.RelayPlan
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** Many nodes that exchange states in virtual time, without a network between them. */
class FleetLinkTest {
    private val timer = ManualTimerService()
    private val server = BackendServer(
        BackendServerId("server"),
        "engines",
        "10.9.0.1:80",
        FailureDomainId("domain-0"),
        slots = 8,
    )
    private val nodes = LinkedHashMap<String, Node>()
    private var exchanges = 0

    private inner class Node(domain: Int, number: Int) {
        val self = FleetNode(
            VmId("vm-$domain-${number.toString().padStart(2, '0')}"),
            "10.$domain.0.$number:1",
            incarnation = 1,
            failureDomain = FailureDomainId("domain-$domain"),
        )
        var isAlive = true
        var part = 0
        val board = ServerTracker(timer).apply { replace(listOf(server)) }
        val members = FleetMembers(self, timer)
        val plan = RelayPlan(members, timer)
        val took = ArrayList<String>()
        val accepted = HashMap<String, JobHolder>()
        var gaveBack = 0
        val link = FleetLink(
            members,
            plan,
            FleetConnector { address -> Peer(nodes.getValue(address), this) },
            FleetLink.Parts(
                board,
                CustomerRateLimiter(timer, windowMillis = 5_000),
                ConfigurationHolder({ error("no configuration here") }, DecisionLog.NONE),
                ServerDirectory({ null }, board, timer, DecisionLog.NONE),
                EndedJobs(timer),
            ),
            timer,
            CoroutineScope(Dispatchers.Unconfined),
            DecisionLog.NONE,
        )

        init {
            link.othersTook = { took += it }
            link.othersAccepted = { accepted += it }
            link.slotsWanted = { gaveBack++ }
        }
    }

    private inner class Peer(private val node: Node, private val caller: Node) : UnusedPeer() {
        override suspend fun exchange(state: NodeState): Result<NodeState, PeerError> {
            exchanges++
            val isReached = node.isAlive && caller.isAlive && node.part == caller.part
            return if (isReached) Ok(node.link.exchanged(state)) else Err(PeerError.Unreachable("down"))
        }
    }

    private fun fleet(domains: Int, size: Int) {
        for (domain in 0 until domains) {
            for (number in 0 until size) Node(domain, number).let { nodes[it.self.address] = it }
        }
        val all = nodes.values.map { it.self }
        for (node in nodes.values) {
            all.forEach { node.members.addMember(it) }
            node.link.start(emptyList())
        }
        timer.advance(5_000)
    }

    @Test
    fun `every node sees the load of all others once`() {
        fleet(domains = 3, size = 20)
        nodes.values.forEachIndexed { index, node ->
            repeat(index % 3) { node.board.recordStart(server.id, isBatch = index % 2 == 0) }
        }
        timer.advance(1_000)
        val whole = nodes.values.sumOf { it.board.localOccupancy(server.id).total }
        for (node in nodes.values) expectThat(node.board.occupancy(server.id).total).isEqualTo(whole)
    }

    @Test
    fun `all nodes know that all others are alive`() {
        fleet(domains = 3, size = 20)
        timer.advance(20_000)
        for (node in nodes.values) expectThat(node.members.reachable().size).isEqualTo(nodes.size - 1)
    }

    @Test
    fun `the messages of a node do not grow with the fleet`() {
        fleet(domains = 3, size = 50)
        val before = exchanges
        timer.advance(10_000)
        // A node calls its relay five times a second, and a relay serves a third of its failure domain.
        expectThat((exchanges - before) / 10.0 / nodes.size).isLessThan(12.0)
    }

    @Test
    fun `the nodes behind a relay that dies are heard through another one and stay alive for all`() {
        fleet(domains = 2, size = 12)
        val last = nodes.values.last()
        val relay = nodes.values.single { it.self == last.plan.ownRelay() }
        last.board.recordStart(server.id, isBatch = false)
        timer.advance(1_000)
        relay.isAlive = false
        repeat(80) {
            timer.advance(100)
            for (node in nodes.values.filter { it.isAlive }) {
                expectThat(node.members.isReachable(last.self.vm) || node === last).isTrue()
            }
        }
        for (node in nodes.values.filter { it.isAlive }) {
            expectThat(node.board.occupancy(server.id).total).isEqualTo(1)
            expectThat(node.members.isReachable(relay.self.vm)).isEqualTo(false)
        }
    }

    /** Load pattern: all nodes start at once on slow processors, and some of them do not hear the others in time. */
    @Test
    fun `parts of a fleet that lost each other meet again`() {
        fleet(domains = 3, size = 16)
        nodes.values.forEachIndexed { index, node -> node.part = index % 2 }
        timer.advance(8_000)
        nodes.values.forEach { it.part = 0 }
        timer.advance(10_000)
        for (node in nodes.values) expectThat(node.members.reachable().size).isEqualTo(nodes.size - 1)
        for (domain in nodes.values.groupBy { it.self.failureDomain }.keys) {
            expectThat(nodes.values.map { node -> node.plan.relays(domain).map { it.vm } }.toSet().size).isEqualTo(1)
        }
    }

    @Test
    fun `a member that is gone is told, so that its connections can be closed`() {
        fleet(domains = 1, size = 3)
        val (gone, node) = nodes.values.toList()
        var forgotten = 0
        node.link.memberForgotten = { forgotten++ }
        gone.isAlive = false
        timer.advance(40_000)
        expectThat(forgotten).isEqualTo(1)
    }

    /** Load pattern: all nodes start while the store is away, and the first calls find nobody. */
    @Test
    fun `nodes that know only a seed meet although the seed answers late`() {
        repeat(6) { Node(domain = 0, number = it).let { node -> nodes[node.self.address] = node } }
        val seed = nodes.values.first().apply { isAlive = false }
        nodes.values.forEach { it.link.start(listOf(seed.self.address)) }
        timer.advance(500)
        seed.isAlive = true
        timer.advance(5_000)
        for (node in nodes.values) expectThat(node.members.reachable().size).isEqualTo(nodes.size - 1)
    }

    @Test
    fun `jobs that were accepted or taken over are told to all nodes`() {
        fleet(domains = 2, size = 10)
        val first = nodes.values.first()
        val last = nodes.values.last()
        last.link.acceptedJobs = { mapOf("new" to JobHolder(last.self.vm.value, 1)) }
        last.link.takenOverJobs = { listOf("old") }
        timer.advance(1_000)
        expectThat(first.accepted.keys).containsExactlyInAnyOrder("new")
        expectThat(first.took.toSet()).containsExactlyInAnyOrder("old")
    }

    @Test
    fun `a node behind another relay gives its slot back at once`() {
        fleet(domains = 1, size = 20)
        val leaves = nodes.values.filter { !it.plan.isRelay }
        val online = leaves.first()
        val batch = leaves.first { it.plan.ownRelay() != online.plan.ownRelay() }
        batch.board.recordStart(server.id, isBatch = true)
        timer.advance(500)
        repeat(server.slots) { online.board.recordStart(server.id, isBatch = false) }
        online.board.busiestBatchPeer(server.id)?.let { online.link.pushTo(it) }
        timer.advance(0)
        expectThat(batch.gaveBack).isGreaterThan(0)
    }
}
