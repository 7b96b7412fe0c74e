package ragwortbarrow.core.serverlimit

import org.junit.jupiter.api.Test
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.LatencyEstimates
import ragwortbarrow.core.placement.OnlinePlacement
import ragwortbarrow.core.placement.Placement
import ragwortbarrow.core.placement.PlacementRequest
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.core.traffic.ServiceSettings
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Many nodes, each with its own knowledge, send to a server that has just started and is the least loaded one. */
class ColdServerLoadTest {
    private val timer = ManualTimerService()
    private val random = Random(7)
    private val domains = List(3) { FailureDomainId("domain-$it") }
    private val nodes = List(NODES) { FleetNode(VmId("vm-$it"), "10.0.1.$it:1", incarnation = 1, domains[it % 3]) }
    private val warm = List(SERVERS) {
        server("warm-$it", domains[it % 3]).copy(coldRemainingMillis = 0)
    }
    private val cold = server("cold", domains[0]).copy(coldRemainingMillis = 3_000, entryRevision = 2)
    private val sentMillis = ArrayList<Long>()
    private var settings = ServiceSettings(SERVICE, coldStartMillis = 3_000, coldRequestsPerSecond = COLD_PER_SECOND)

    private fun server(name: String, domain: FailureDomainId) =
        BackendServer(BackendServerId(name), SERVICE, "10.0.0.1:80", domain, slots = 8, entryRevision = 1)

    private inner class Node(val self: FleetNode, known: Collection<FleetNode>) {
        val members = FleetMembers(self, timer).apply { known.forEach { addMember(it) } }
        val limits = ServerLimits(LimitHolders(members), timer, DecisionLog.NONE) { settings }
        val tracker = ServerTracker(timer, permits = limits)
        val placement = OnlinePlacement(tracker, LatencyEstimates(), self.failureDomain, timer, Random(self.hashCode()))

        fun list(servers: List<BackendServer>) {
            tracker.replace(servers)
            limits.retain(servers)
        }

        fun request() {
            val placed = placement.place(PlacementRequest(SERVICE, 300.0, remainingDeadlineMillis = 5_000))
            if (placed !is Placement.Send) return
            val server = placed.server.id
            if (server == cold.id) sentMillis += timer.monotonicMillis()
            val startMillis = tracker.recordStart(server, isBatch = false)
            timer.once(RUN_MILLIS) { tracker.recordEnd(server, isBatch = false, startMillis = startMillis) }
        }
    }

    private val fleet = nodes.map { Node(it, nodes) }.toMutableList()

    init {
        fleet.forEach { it.list(warm) }
        timer.advance(5_000)
    }

    /** The new entry reaches each node within a second. */
    private fun startColdServer() = fleet.forEach { node ->
        timer.once(random.nextLong(1, 1_000)) { node.list(warm + cold) }
    }

    private fun load(millis: Long) = repeat((millis / ARRIVAL_MILLIS).toInt()) {
        timer.advance(ARRIVAL_MILLIS)
        fleet[random.nextInt(fleet.size)].request()
    }

    private fun worstSecond(): Int =
        sentMillis.maxOfOrNull { start -> sentMillis.count { it in start..start + 1_000 } } ?: 0

    @Test
    fun `all nodes together keep within the rate in any one second, and use it`() {
        startColdServer()
        load(millis = 3_000)
        expectThat(worstSecond()).isIn(2..6)
    }

    @Test
    fun `a service that names no rate sends a new server as many requests as others`() {
        settings = ServiceSettings(SERVICE)
        startColdServer()
        load(millis = 3_000)
        expectThat(worstSecond()).isGreaterThan(MAX_PER_SECOND)
    }

    /** Nodes that start behind a split don't hear of the other side, and some of them of nobody. */
    @Test
    fun `nodes that restart on both sides of a split keep within what the server bears`() {
        startColdServer()
        load(millis = 500)
        val (left, right) = nodes.partition { it.failureDomain == domains[0] }
        for (index in fleet.indices.filter { it % 3 != 2 }) {
            val side = if (nodes[index] in left) left else right
            val restarted = nodes[index].copy(incarnation = 2)
            fleet[index] = Node(restarted, if (index % 4 == 0) emptyList() else side).also { it.list(warm + cold) }
        }
        repeat(6) { round ->
            load(millis = 1_000)
            // The server becomes cold again at every heartbeat.
            fleet.forEach { it.list(warm + cold.copy(entryRevision = 3L + round)) }
        }
        expectThat(worstSecond()).isLessThanOrEqualTo(MAX_PER_SECOND)
    }

    private companion object {
        const val SERVICE = "engines"
        const val NODES = 76
        const val SERVERS = 18
        const val COLD_PER_SECOND = 5.4

        /** What the server bears in any one second, as the platform states it: 1.5 times the rate, and 5. */
        const val MAX_PER_SECOND = 13
        const val RUN_MILLIS = 300L
        const val ARRIVAL_MILLIS = 3L
    }
}
