package ragwortbarrow.core.serverlimit

import org.junit.jupiter.api.Test
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.traffic.ServiceSettings
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull

class ColdServersTest {
    private val timer = ManualTimerService()
    private val domain = FailureDomainId("dalton")
    private val events = ArrayList<String>()
    private val members = FleetMembers(FleetNode(VmId("vm-1"), "10.0.0.1:1", incarnation = 1, domain), timer)
    private val holders = LimitHolders(members)
    private var settings = ServiceSettings("engines", coldStartMillis = 3_000, coldRequestsPerSecond = 2.0)
    private val limits = ServerLimits(holders, timer, DecisionLog { event, _ -> events += event }) { settings }
    private val warm = BackendServer(
        BackendServerId("i-1"),
        "engines",
        "10.0.0.9:80",
        domain,
        slots = 8,
        coldRemainingMillis = 0,
        entryRevision = 5,
    )

    init {
        holders.areMembersListed = true
        timer.advance(60_000)
    }

    private fun isCold(server: BackendServer) = limits.permitsPerSecond(server).isFinite()

    private fun list(server: BackendServer) = limits.retain(listOf(server))

    @Test
    fun `a server is cold for the time that its entry tells, and reading the entry again does not prolong it`() {
        val cold = warm.copy(coldRemainingMillis = 2_000)
        list(cold)
        timer.advance(1_500)
        list(cold)
        expectThat(isCold(cold)).isEqualTo(true)
        timer.advance(500)
        expectThat(isCold(cold)).isEqualTo(false)
        expectThat(events).containsExactly("server_cold")
    }

    @Test
    fun `a server becomes cold again when a newer entry tells so`() {
        list(warm)
        expectThat(limits.waitMillis(warm, isSpare = false)).isEqualTo(0.0)
        val cold = warm.copy(coldRemainingMillis = 2_000, entryRevision = 6)
        expectThat(limits.waitMillis(cold, isSpare = false)).isNotNull().isGreaterThan(0.0)
    }

    @Test
    fun `a new server whose entry does not tell is cold for the time that its service names`() {
        val untold = warm.copy(coldRemainingMillis = null)
        list(untold)
        timer.advance(2_900)
        list(untold.copy(entryRevision = 6))
        expectThat(isCold(untold)).isEqualTo(true)
        timer.advance(200)
        expectThat(isCold(untold)).isEqualTo(false)
        expectThat(events).containsExactly("server_cold_untold", "server_cold")
    }

    @Test
    fun `a server that refused a connection is cold until a newer entry tells otherwise`() {
        list(warm)
        limits.recordRefusedConnection(warm)
        expectThat(isCold(warm)).isEqualTo(true)
        list(warm)
        expectThat(isCold(warm)).isEqualTo(true)
        list(warm.copy(entryRevision = 6))
        expectThat(isCold(warm.copy(entryRevision = 6))).isEqualTo(false)
    }

    @Test
    fun `the servers of a domain are cold after its evacuation until a newer entry tells otherwise`() {
        list(warm)
        limits.recordEvacuationEnd(domain, revision = 9)
        list(warm.copy(entryRevision = 8))
        expectThat(isCold(warm.copy(entryRevision = 8))).isEqualTo(true)
        expectThat(limits.coldSize).isEqualTo(1)
        timer.advance(3_000)
        expectThat(limits.coldSize).isEqualTo(0)
    }

    @Test
    fun `requests to a cold server are not saved up`() {
        val cold = warm.copy(coldRemainingMillis = 60_000)
        list(cold)
        limits.waitMillis(cold, isSpare = false)
        timer.advance(10_000)
        limits.recordSend(cold)
        expectThat(limits.waitMillis(cold, isSpare = false)).isEqualTo(500.0)
    }

    @Test
    fun `a node that has heard of no other one sends nothing to a cold server`() {
        holders.areMembersListed = false
        val cold = warm.copy(coldRemainingMillis = 60_000)
        timer.advance(20_000)
        expectThat(limits.waitMillis(cold, isSpare = false)).isEqualTo(60_000.0)
    }

    @Test
    fun `a service that names no rate for cold servers has none`() {
        settings = ServiceSettings("engines", coldStartMillis = 3_000)
        val cold = warm.copy(coldRemainingMillis = 60_000)
        list(cold)
        limits.recordRefusedConnection(cold)
        expectThat(limits.waitMillis(cold, isSpare = true)).isEqualTo(0.0)
        expectThat(events).isEmpty()
    }
}
