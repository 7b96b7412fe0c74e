package ragwortbarrow.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
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
import ragwortbarrow.core.quarantine.HeldItem
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** Simulates many nodes that exchange states in virtual time, without a network. */
class FleetStateExchangeTest {
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
    private val trials = ArrayList<String>()
    private var onTrial: (Node) -> Unit = {}

    private inner class Node(domain: Int, number: Int) {
        val self = FleetNode(
            VmId("vm-$domain-${number.toString().padStart(2, '0')}"),
            "10.$domain.0.$number:1",
            incarnation = 1,
            failureDomain = FailureDomainId("domain-$domain"),
        )
        var isAlive = true
        var partition = 0
        val members = FleetMembers(self, timer)
        val limits = serverLimitsOf(timer, members)
        val tracker = ServerTracker(timer, permits = limits).apply { replace(listOf(server)) }
        val plan = RelayPlan(members, timer)
        val takenOver = ArrayList<String>()
        val accepted = HashMap<String, JobHolder>()
        var slotRequests = 0
        val quarantine = PromptQuarantine(timer, DecisionLog.NONE)
        var heldItem: HeldItem? = null
        val stateExchange = FleetStateExchange(
            members,
            plan,
            FleetConnector { address -> Peer(nodes.getValue(address), this) },
            sharedStateOf(tracker, timer, quarantine, limits),
            timer,
            CoroutineScope(Dispatchers.Unconfined),
            DecisionLog.NONE,
        )

        init {
            stateExchange.onJobsTakenOver = { takenOver += it }
            stateExchange.onJobsAccepted = { accepted += it }
            stateExchange.onSlotsNeeded = { slotRequests++ }
            stateExchange.onPeriodEnd = {
                quarantine.update()
                tryHeldItem()
            }
        }

        /** Sends the item that waits here if it is due as a trial. */
        private fun tryHeldItem() {
            val item = heldItem ?: return
            val isHeld = quarantine.heldPart(item.sharedParts) != null
            quarantine.updateHeldItems(listOfNotNull(item.takeIf { isHeld }))
            if (!isHeld || !quarantine.isTrialDue(item)) return
            quarantine.startTrial(item.sharedParts)
            trials += item.id
            onTrial(this)
        }
    }

    private inner class Peer(private val node: Node, private val caller: Node) : UnusedPeer() {
        override suspend fun exchange(state: NodeState): Result<NodeState, PeerError> {
            exchanges++
            val isReached = node.isAlive && caller.isAlive && node.partition == caller.partition
            return if (isReached) Ok(node.stateExchange.handleExchange(state)) else Err(PeerError.Unreachable("down"))
        }
    }

    private fun fleet(domains: Int, size: Int) {
        for (domain in 0 until domains) {
            for (number in 0 until size) Node(domain, number).let { nodes[it.self.address] = it }
        }
        val all = nodes.values.map { it.self }
        for (node in nodes.values) {
            all.forEach { node.members.addMember(it) }
            node.stateExchange.start(emptyList())
        }
        timer.advance(5_000)
    }

    @Test
    fun `every node counts the load of all others exactly once`() {
        fleet(domains = 3, size = 20)
        nodes.values.forEachIndexed { index, node ->
            repeat(index % 3) { node.tracker.recordStart(server.id, isBatch = index % 2 == 0) }
        }
        timer.advance(1_000)
        val total = nodes.values.sumOf { it.tracker.localOccupancy(server.id).total }
        for (node in nodes.values) expectThat(node.tracker.occupancy(server.id).total).isEqualTo(total)
    }

    /** Sound requests are answered at every node meanwhile. */
    private fun crashServer(node: Node, server: String) {
        val parts = listOf("common", "harmful")
        node.quarantine.recordDisconnect(BackendServerId(server), "request at $server", parts)
        repeat(6) {
            timer.advance(100)
            nodes.values.forEach { it.quarantine.recordAnswer(listOf("common", "sound")) }
        }
    }

    @Test
    fun `a part on which servers crashed at different nodes is refused by all nodes within 3 s`() {
        fleet(domains = 3, size = 20)
        val places = listOf(7, 28, 59, 35, 12)
        places.forEachIndexed { index, place -> crashServer(nodes.values.elementAt(place), "server-$index") }
        timer.advance(3_000 - 600)
        for (node in nodes.values) {
            expectThat(node.quarantine.quarantinedPart(listOf("common", "harmful"))).isEqualTo("harmful")
            expectThat(node.quarantine.size).isEqualTo(1)
        }
    }

    @Test
    fun `nodes that were cut off refuse a quarantined part soon after they are back`() {
        fleet(domains = 2, size = 8)
        val cutOff = nodes.values.take(8)
        cutOff.forEach { it.partition = 1 }
        timer.advance(3_000)
        repeat(5) { crashServer(nodes.values.last(), "server-$it") }
        timer.advance(8_000)
        cutOff.forEach { it.partition = 0 }
        timer.advance(3_000)
        for (node in cutOff) expectThat(node.quarantine.size).isEqualTo(1)
    }

    /** Each node holds an item; the first one is at a node that relays tell the others of. */
    private fun quarantineWithHeldItems() {
        fleet(domains = 3, size = 20)
        nodes.values.forEachIndexed { index, node ->
            node.heldItem = HeldItem("item-${(index + 17) % 60 + 10}", listOf("common", "harmful"))
        }
        repeat(3) { crashServer(nodes.values.elementAt(it * 20), "server-$it") }
        timer.advance(3_000)
        for (node in nodes.values) expectThat(node.quarantine.size).isEqualTo(1)
    }

    @Test
    fun `of 60 nodes with held items one sends a trial, and its answer frees the part at all within a second`() {
        onTrial = { it.quarantine.recordAnswer(listOf("common", "harmful")) }
        quarantineWithHeldItems()
        while (trials.isEmpty()) timer.advance(100)
        timer.advance(1_000)
        for (node in nodes.values) expectThat(node.quarantine.size).isEqualTo(0)
        timer.advance(30_000)
        for (node in nodes.values) expectThat(node.quarantine.size).isEqualTo(0)
        expectThat(trials).containsExactly("item-10")
    }

    @Test
    fun `60 nodes send three trials in all while servers crash, also when the node of the first item ends`() {
        onTrial = { node ->
            val server = BackendServerId("trial-${trials.size}")
            node.quarantine.recordDisconnect(server, "request at $server", listOf("harmful"))
            node.isAlive = false
            node.heldItem = null
        }
        quarantineWithHeldItems()
        timer.advance(100_000)
        expectThat(trials.size).isEqualTo(3)
    }

    @Test
    fun `every node reaches all others`() {
        fleet(domains = 3, size = 20)
        timer.advance(20_000)
        for (node in nodes.values) expectThat(node.members.reachable().size).isEqualTo(nodes.size - 1)
    }

    @Test
    fun `the number of messages per node does not grow with the fleet`() {
        fleet(domains = 3, size = 50)
        val before = exchanges
        timer.advance(10_000)
        // A node calls its relay five times a second, and a relay serves a third of its failure domain.
        expectThat((exchanges - before) / 10.0 / nodes.size).isLessThan(12.0)
    }

    @Test
    fun `the nodes of a failed relay stay reachable through another relay`() {
        fleet(domains = 2, size = 12)
        val last = nodes.values.last()
        val relay = nodes.values.single { it.self == last.plan.ownRelay() }
        last.tracker.recordStart(server.id, isBatch = false)
        timer.advance(1_000)
        relay.isAlive = false
        repeat(80) {
            timer.advance(100)
            for (node in nodes.values.filter { it.isAlive }) {
                expectThat(node.members.isReachable(last.self.vm) || node === last).isTrue()
            }
        }
        for (node in nodes.values.filter { it.isAlive }) {
            expectThat(node.tracker.occupancy(server.id).total).isEqualTo(1)
            expectThat(node.members.isReachable(relay.self.vm)).isEqualTo(false)
        }
    }

    /** Nodes that all start at once on slow processors may miss each other and form separate groups. */
    @Test
    fun `a partitioned fleet merges again`() {
        fleet(domains = 3, size = 16)
        nodes.values.forEachIndexed { index, node -> node.partition = index % 2 }
        timer.advance(8_000)
        nodes.values.forEach { it.partition = 0 }
        timer.advance(10_000)
        for (node in nodes.values) expectThat(node.members.reachable().size).isEqualTo(nodes.size - 1)
        for (domain in nodes.values.groupBy { it.self.failureDomain }.keys) {
            expectThat(nodes.values.map { node -> node.plan.relays(domain).map { it.vm } }.toSet().size).isEqualTo(1)
        }
    }

    /** Only relays tell others of a node, so the relays of both parts have to find each other among many nodes. */
    @ParameterizedTest
    @ValueSource(ints = [4, 60])
    fun `parts of a fleet that were cut off until they forgot each other merge again soon`(domainSize: Int) {
        fleet(domains = 3, size = domainSize)
        val cutOff = nodes.values.filter { it.self.failureDomain == FailureDomainId("domain-1") }
        cutOff.forEach { it.partition = 1 }
        timer.advance(45_000)
        expectThat(cutOff.first().members.size).isEqualTo(cutOff.size)
        cutOff.forEach { it.partition = 0 }
        timer.advance(10_000)
        for (node in nodes.values) expectThat(node.members.reachable().size).isEqualTo(nodes.size - 1)
    }

    @Test
    fun `the removal of a member is reported, so that its connections can be closed`() {
        fleet(domains = 1, size = 3)
        val (gone, node) = nodes.values.toList()
        var removedCount = 0
        node.stateExchange.onMemberRemoved = { removedCount++ }
        gone.isAlive = false
        timer.advance(40_000)
        expectThat(removedCount).isEqualTo(1)
    }

    /** If all nodes start during a store outage, their first calls to the seed fail. */
    @Test
    fun `nodes that know only a seed join although the seed responds late`() {
        repeat(6) { Node(domain = 0, number = it).let { node -> nodes[node.self.address] = node } }
        val seed = nodes.values.first().apply { isAlive = false }
        nodes.values.forEach { it.stateExchange.start(listOf(seed.self.address)) }
        timer.advance(500)
        seed.isAlive = true
        timer.advance(5_000)
        for (node in nodes.values) expectThat(node.members.reachable().size).isEqualTo(nodes.size - 1)
    }

    @Test
    fun `accepted and taken-over jobs are announced to all nodes`() {
        fleet(domains = 2, size = 10)
        val first = nodes.values.first()
        val last = nodes.values.last()
        last.stateExchange.recentlyAcceptedJobs = { mapOf("new" to JobHolder(last.self.vm.value, 1)) }
        last.stateExchange.takenOverJobs = { listOf("old") }
        timer.advance(1_000)
        expectThat(first.accepted.keys).containsExactlyInAnyOrder("new")
        expectThat(first.takenOver.toSet()).containsExactlyInAnyOrder("old")
    }

    @Test
    fun `a node behind another relay is asked at once to free a slot`() {
        fleet(domains = 1, size = 20)
        val leaves = nodes.values.filter { !it.plan.isRelay }
        val online = leaves.first()
        val batch = leaves.first { it.plan.ownRelay() != online.plan.ownRelay() }
        batch.tracker.recordStart(server.id, isBatch = true)
        timer.advance(500)
        repeat(server.slots) { online.tracker.recordStart(server.id, isBatch = false) }
        online.tracker.busiestBatchPeer(server.id)?.let { online.stateExchange.requestSlotFrom(it) }
        timer.advance(0)
        expectThat(batch.slotRequests).isGreaterThan(0)
    }

    private fun exchangesIn(millis: Long): Int {
        val before = exchanges
        timer.advance(millis)
        return exchanges - before
    }

    /** Most nodes of a large fleet have nothing to report before traffic starts and between bursts. */
    @Test
    fun `an idle failure domain exchanges less than half as much as a busy one and loses no member`() {
        fleet(domains = 1, size = 6)
        val idle = exchangesIn(5_000)
        nodes.values.forEach { expectThat(it.members.unreachableCount).isEqualTo(0) }
        nodes.values.first().tracker.recordStart(server.id, isBatch = false)
        timer.advance(1_000)
        val busy = exchangesIn(5_000)
        expectThat(idle).isLessThan(busy / 2)
        nodes.values.forEach { expectThat(it.tracker.occupancy(server.id).online).isEqualTo(1) }
    }
}
