package ragwortbarrow.core.routing

import org.junit.jupiter.api.Test
import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.startsWith
import kotlin.random.Random

/** Guards the choice of a server: local failure domain, bounded prefix affinity, and load reports that lag. */
class RouterTest {
    private val timer = ManualTimerService()
    private val loads = BackendLoads(timer)
    private val health = ServerHealth(timer)
    private val lines = mutableListOf<Map<String, Any?>>()
    private val log = DecisionLog { event, fields -> lines += fields.toMap() + ("event" to event) }
    private val router = Router(loads, health, localDomain, Random(3), log)

    @Test
    fun `servers of another failure domain are used only when no local one is eligible`() {
        val snapshot = snapshotOf(listOf(server("own1"), server("own2"), server("far", domain = remoteDomain)))
        val before = List(8) { choose(snapshot.manifest.backendServers) }
        expectThat(before).all { startsWith("own") }
        listOf("own1", "own2").forEach { health.recordFailure(BackendServerId(it)) }
        expectThat(choose(snapshot.manifest.backendServers)).isEqualTo("far")
    }

    @Test
    fun `requests with one prefix use the same server up to the load bound and then others`() {
        val servers = (1..6).map { server("s$it", slots = 100) }
        val chosen = List(60) { choose(servers, prefix = "Dear Asha") }
        val preferred = chosen.first()
        expectThat(chosen.count { it == preferred }).isGreaterThan(60 / 6)
        // The bound is 1.25 times the mean of 10, rounded up, plus the request that reaches it.
        expectThat(chosen.count { it == preferred }).isLessThanOrEqualTo(14)
        expectThat(chosen.take(2)).all { isEqualTo(preferred) }
    }

    @Test
    fun `the load of other nodes is the reported load minus the local requests at the time of the report`() {
        val id = BackendServerId("s1")
        repeat(3) { loads.tryAcquire(id, limit = 10) }
        loads.recordSample(id)
        timer.advance(200)
        repeat(2) { loads.release(id) }
        loads.record(id, LoadReport(running = 5, waiting = 0, slots = 10, ageMillis = 200))
        expectThat(loads.estimatedLoad(id)).isEqualTo(1 + 2)
        timer.advance(5_001)
        expectThat(loads.estimatedLoad(id)).isEqualTo(1)
    }

    @Test
    fun `the listener is told immediately that a server is full`() {
        val notifications = mutableListOf<String>()
        loads.addListener(object : OnlineLoadListener {
            override fun onInFlightChanged(server: BackendServerId, inFlight: Int) {
                notifications += "$server=$inFlight"
            }

            override fun onServerFull(server: BackendServerId, inFlight: Int) {
                notifications += "$server full at $inFlight"
            }
        })
        val servers = listOf(server("s1", slots = 1))
        repeat(3) { choose(servers) }
        expectThat(notifications).isEqualTo(mutableListOf("s1=1", "s1 full at 1", "s1=2", "s1 full at 2"))
    }

    @Test
    fun `after the backoff one request probes the server`() {
        health.recordFailure(BackendServerId("s1"))
        val servers = listOf(server("s1"))
        expectThat(choose(servers)).isEqualTo("AllPaused")
        timer.advance(100)
        expectThat(listOf(choose(servers), choose(servers))).isEqualTo(listOf("s1", "AllPaused"))
        health.recordSuccess(BackendServerId("s1"))
        expectThat(choose(servers)).isEqualTo("s1")
    }

    @Test
    fun `each decision logs one line with the chosen server, candidate count, reason and request id`() {
        choose(listOf(server("s1")))
        expectThat(lines).hasSize(1).get { single() }.isA<Map<String, Any?>>().isEqualTo(
            mapOf(
                "event" to "route",
                "request_id" to RequestId("r1"),
                "chosen" to BackendServerId("s1"),
                "candidates" to 1,
                "reason" to "lower_of_two",
            ),
        )
    }

    private fun choose(servers: List<BackendServer>, prefix: String = ""): String =
        when (val decision = router.choose(snapshotOf(servers), RouteRequest(RequestId("r1"), modelTarget, prefix))) {
            is RouteDecision.Chosen -> decision.server.id.value
            else -> decision.javaClass.simpleName
        }
}
