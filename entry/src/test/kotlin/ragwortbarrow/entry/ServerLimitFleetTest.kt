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
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.serverlimit.LimitHolders
import ragwortbarrow.core.serverlimit.RequestLimit
import ragwortbarrow.core.serverlimit.ServerLimits
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo

/**
 * Load: every node has more requests for one server than it takes, all the time. The nodes exchange states in virtual
 * time, without a network, and the server names a limit in each of its responses.
 */
class ServerLimitFleetTest {
    private val timer = ManualTimerService()
    private val server =
        BackendServer(BackendServerId("server"), "engines", "10.9.0.1:80", FailureDomainId("domain-0"), slots = 8)
    private val nodes = LinkedHashMap<String, Node>()
    private val arrivalsMillis = ArrayList<Long>()
    private var limit: RequestLimit = RequestLimit.None
    private val nowMillis: Long get() = timer.nanoTime() / 1_000_000

    private inner class Node(val domain: Int, val number: Int, incarnation: Long) {
        val self = FleetNode(
            VmId("vm-$domain-${number.toString().padStart(2, '0')}"),
            "10.$domain.0.$number:1",
            incarnation,
            FailureDomainId("domain-$domain"),
        )
        var isAlive = true
        var partition = 0
        var sentCount = 0
        val members = FleetMembers(self, timer)
        val holders = LimitHolders(members)
        val limits = ServerLimits(holders, timer, DecisionLog.NONE)
        val tracker = ServerTracker(timer, permits = limits).apply { replace(listOf(server)) }
        val stateExchange = FleetStateExchange(
            members,
            RelayPlan(members, timer),
            FleetConnector { address -> Peer(nodes.getValue(address), this) },
            sharedStateOf(tracker, timer, limits = limits),
            timer,
            CoroutineScope(Dispatchers.Unconfined),
            DecisionLog.NONE,
        )

        fun sendIfPermitted() {
            if (!isAlive || tracker.eligible("engines").isEmpty()) return
            tracker.recordEnd(server.id, isBatch = false, tracker.recordStart(server.id, isBatch = false))
            arrivalsMillis += nowMillis
            sentCount++
            limits.recordResponse(server, limit)
        }

        fun leave() {
            holders.isLeaving = true
            stateExchange.announceLeaving()
        }
    }

    private inner class Peer(private val node: Node, private val caller: Node) : UnusedPeer() {
        override suspend fun exchange(state: NodeState): Result<NodeState, PeerError> {
            val isReached = node.isAlive && caller.isAlive && node.partition == caller.partition
            return if (isReached) Ok(node.stateExchange.handleExchange(state)) else Err(PeerError.Unreachable("down"))
        }
    }

    private fun start(domain: Int, number: Int, incarnation: Long = 1): Node {
        val node = Node(domain, number, incarnation)
        nodes.values.forEach { node.members.addMember(it.self) }
        nodes[node.self.address] = node
        node.stateExchange.start(emptyList())
        return node
    }

    private fun restart(node: Node) {
        node.isAlive = false
        timer.advance(500)
        start(node.domain, node.number, node.self.incarnation + 1)
    }

    private fun fleet(domains: Int, size: Int) {
        for (domain in 0 until domains) for (number in 0 until size) start(domain, number)
        for (node in nodes.values) nodes.values.forEach { node.members.addMember(it.self) }
        timer.advance(5_000)
    }

    /** All nodes, or only the [senders], send as many requests as they may for [millis]. */
    private fun load(millis: Long, senders: List<Node>? = null) = repeat((millis / STEP_MILLIS).toInt()) {
        timer.advance(STEP_MILLIS)
        (senders ?: nodes.values.toList()).forEach { it.sendIfPermitted() }
    }

    /** Names [requestsPerSecond] in all responses from now on, and waits until that binds. */
    private fun name(requestsPerSecond: Double) {
        limit = RequestLimit.PerSecond(requestsPerSecond)
        load(CONTACT_MILLIS)
        arrivalsMillis.clear()
    }

    private fun mostInWindow() = arrivalsMillis.maxOfOrNull { start ->
        arrivalsMillis.count { it in start until start + WINDOW_MILLIS }
    } ?: 0

    private fun allowedInWindow(requestsPerSecond: Double) =
        (requestsPerSecond * WINDOW_MILLIS / 1_000 * 1.5 + 5).toInt()

    @Test
    fun `seven nodes keep the limit of a server together and use most of it`() {
        fleet(domains = 4, size = 2)
        name(2.1)
        load(20_000)
        expectThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow(2.1))
        expectThat(arrivalsMillis.size).isIn(36..44)
    }

    @Test
    fun `sixty nodes keep the limit of a server together and use most of it`() {
        fleet(domains = 3, size = 20)
        name(9.0)
        load(20_000)
        expectThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow(9.0))
        expectThat(arrivalsMillis.size).isIn(160..185)
    }

    @Test
    fun `the limit is kept after an idle time`() {
        fleet(domains = 3, size = 5)
        name(6.0)
        timer.advance(60_000)
        load(4_000)
        expectThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow(6.0))
    }

    @ParameterizedTest
    @ValueSource(doubles = [0.4, 2.1, 6.0])
    fun `the limit is kept while nodes restart, join, leave and are cut off`(requestsPerSecond: Double) {
        fleet(domains = 3, size = 3)
        name(requestsPerSecond)
        restart(nodes.values.elementAt(0))
        load(2_000)
        start(domain = 0, number = 3)
        load(2_000)
        nodes.values.elementAt(1).leave()
        load(4_000)
        nodes.values.elementAt(1).isAlive = false
        nodes.values.filter { it.domain == 1 }.forEach { it.partition = 1 }
        load(12_000)
        nodes.values.forEach { it.partition = 0 }
        load(4_000)
        nodes.values.toList().filter { it.domain == 2 && it.isAlive }.forEach { restart(it) }
        load(8_000)
        expectThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow(requestsPerSecond))
    }

    @Test
    fun `the parts of a partitioned fleet keep the limit together, also after their members have expired`() {
        fleet(domains = 3, size = 3)
        name(6.0)
        nodes.values.filter { it.domain == 1 }.forEach { it.partition = 1 }
        load(60_000)
        timer.advance(520_000)
        load(15_000)
        expectThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow(6.0))
    }

    /** It knows the other nodes from the platform's store alone, which also names nodes that ended long ago. */
    @Test
    fun `the limit is kept for 30 s while a node runs that was cut off when it started`() {
        fleet(domains = 3, size = 3)
        name(6.0)
        val node = start(domain = 1, number = 3)
        node.partition = 1
        nodes.values.forEach { node.members.addMember(it.self) }
        load(29_000)
        expectThat(node.sentCount).isGreaterThan(0)
        expectThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow(6.0))
    }

    /** Each part takes the whole limit once it counts the nodes of the other one as ended. */
    @Test
    fun `the limit is kept after a partition that lasted until the parts forgot each other`() {
        fleet(domains = 3, size = 3)
        name(6.0)
        nodes.values.filter { it.domain == 1 }.forEach { it.partition = 1 }
        timer.advance(630_000)
        load(10_000)
        nodes.values.forEach { it.partition = 0 }
        load(CONTACT_MILLIS)
        arrivalsMillis.clear()
        load(20_000)
        expectThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow(6.0))
    }

    @Test
    fun `all nodes learn of a limit before a response of their own, and of its end`() {
        fleet(domains = 3, size = 20)
        nodes.values.last().limits.recordResponse(server, RequestLimit.PerSecond(3.0))
        timer.advance(1_500)
        expectThat(nodes.values.count { it.limits.size == 1 }).isEqualTo(60)
        nodes.values.first().limits.recordResponse(server, RequestLimit.None)
        timer.advance(1_500)
        expectThat(nodes.values.count { it.limits.size == 0 }).isEqualTo(60)
    }

    @Test
    fun `a server that takes nothing gets few requests, and its limit ends`() {
        fleet(domains = 3, size = 3)
        name(0.0)
        load(20_000)
        expectThat(mostInWindow()).isLessThanOrEqualTo(1)
        expectThat(arrivalsMillis.size).isGreaterThanOrEqualTo(3)
        limit = RequestLimit.None
        load(7_000)
        expectThat(nodes.values.count { it.limits.size == 0 }).isEqualTo(9)
    }

    @Test
    fun `the end of a limit is seen although the nodes that hold it have no requests`() {
        fleet(domains = 3, size = 3)
        name(0.0)
        load(20_000)
        val sent = nodes.values.associateWith { it.sentCount }
        val holder = sent.maxBy { it.value }.key
        val others = nodes.values - holder
        load(30_000, others)
        expectThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow(0.0))
        limit = RequestLimit.None
        load(20_000, others)
        expectThat(nodes.values.count { it.limits.size == 0 }).isEqualTo(9)
    }

    private companion object {
        const val STEP_MILLIS = 20L
        const val CONTACT_MILLIS = 3_000L

        /** Time over which the requests to a server with a limit are counted. */
        const val WINDOW_MILLIS = 4_000L
    }
}
