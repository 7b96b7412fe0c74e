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
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class ServerLimitsTest {
    private val timer = ManualTimerService()
    private val domain = FailureDomainId("dalton")
    private val members = FleetMembers(node("vm-1"), timer)
    private val events = ArrayList<String>()
    private val holders = LimitHolders(members)
    private val limits = ServerLimits(holders, timer, DecisionLog { event, _ -> events += event })
    private val server = server("i-1", incarnation = 5)

    private fun node(name: String) = FleetNode(VmId(name), "10.0.0.1:1", incarnation = 1, domain)

    private fun server(name: String, incarnation: Long?) =
        BackendServer(BackendServerId(name), "engines", "10.0.0.9:80", domain, slots = 8, incarnation = incarnation)

    private fun waitMillis(isSpare: Boolean = false) = limits.waitMillis(server, isSpare)

    private fun limit(requestsPerSecond: Double, of: BackendServer = server) =
        limits.recordResponse(of, RequestLimit.PerSecond(requestsPerSecond))

    private fun report(requestsPerSecond: Double?, ageMillis: Long, incarnation: Long? = 5) =
        limits.merge(mapOf(server.id to ServerLimitReport(requestsPerSecond, incarnation, ageMillis)))

    @Test
    fun `a server without a limit takes requests at once`() {
        limits.recordResponse(server, RequestLimit.None)
        expectThat(waitMillis()).isEqualTo(0.0)
        expectThat(events).isEmpty()
    }

    @Test
    fun `requests that were not sent are saved up for two seconds at most`() {
        timer.advance(60_000)
        limit(4.0)
        timer.advance(60_000)
        repeat(8) {
            expectThat(waitMillis()).isEqualTo(0.0)
            limits.recordSend(server)
        }
        expectThat(waitMillis()).isEqualTo(250.0)
    }

    @Test
    fun `a batch item takes only what is not saved up for online requests`() {
        timer.advance(60_000)
        limit(4.0)
        timer.advance(1_000)
        expectThat(waitMillis()).isEqualTo(0.0)
        expectThat(waitMillis(isSpare = true)).isNotNull().isGreaterThan(0.0)
        timer.advance(1_000)
        expectThat(waitMillis(isSpare = true)).isEqualTo(0.0)
    }

    @Test
    fun `a response without a limit ends it`() {
        limit(1.0)
        expectThat(waitMillis()).isNotNull().isGreaterThan(0.0)
        limits.recordResponse(server, RequestLimit.None)
        expectThat(waitMillis()).isEqualTo(0.0)
    }

    @Test
    fun `an unreadable limit is logged once and counts as none`() {
        limit(1.0)
        repeat(3) { limits.recordResponse(server, RequestLimit.Unreadable) }
        expectThat(waitMillis()).isEqualTo(0.0)
        expectThat(events.count { it == "server_limit_unreadable" }).isEqualTo(1)
    }

    @Test
    fun `a restart of the server ends its limit, and a late response of the old process does not bring it back`() {
        limit(1.0)
        val restarted = server.copy(incarnation = 6)
        limits.retain(listOf(restarted))
        expectThat(limits.size).isEqualTo(0)
        limit(2.0, restarted)
        limit(1.0)
        expectThat(limits.waitMillis(restarted, isSpare = false)).isNotNull().isGreaterThan(0.0)
        limits.recordResponse(restarted, RequestLimit.None)
        expectThat(limits.waitMillis(restarted, isSpare = false)).isEqualTo(0.0)
    }

    @Test
    fun `a server whose entry is missing for a while keeps its limit`() {
        limit(1.0)
        limits.retain(emptyList())
        limits.retain(listOf(server))
        expectThat(limits.size).isEqualTo(1)
    }

    @Test
    fun `a limit of a new process binds while the list of servers shows the old one`() {
        report(1.0, ageMillis = 0, incarnation = 6)
        expectThat(waitMillis()).isNotNull().isGreaterThan(0.0)
    }

    @Test
    fun `a server whose entry no longer tells its incarnation keeps its limit`() {
        limit(1.0)
        val untold = server.copy(incarnation = null)
        limits.retain(listOf(untold))
        expectThat(limits.waitMillis(untold, isSpare = false)).isNotNull().isGreaterThan(0.0)
        limits.recordResponse(untold, RequestLimit.None)
        expectThat(limits.waitMillis(untold, isSpare = false)).isEqualTo(0.0)
    }

    @Test
    fun `what a peer read earlier does not replace what this node read later`() {
        limit(1.0)
        timer.advance(500)
        report(null, ageMillis = 600)
        report(3.0, ageMillis = 600)
        expectThat(limits.size).isEqualTo(1)
        expectThat(limits.reports()[server.id]).isEqualTo(ServerLimitReport(1.0, incarnation = 5, ageMillis = 500))
        report(3.0, ageMillis = 400)
        expectThat(limits.reports()).isEmpty()
    }

    /** The message was on its way for half a second, so it is older than the limit. */
    @Test
    fun `an end of a limit that is delivered late does not end a limit that this node has read since`() {
        timer.advance(10_000)
        limit(1.0)
        timer.advance(400)
        report(null, ageMillis = 20)
        expectThat(limits.size).isEqualTo(1)
        timer.advance(600)
        report(null, ageMillis = 20)
        expectThat(limits.size).isEqualTo(0)
    }

    @Test
    fun `what was saved up at a higher rate is not used when the limit falls`() {
        timer.advance(60_000)
        limit(20.0)
        timer.advance(10_000)
        expectThat(waitMillis()).isEqualTo(0.0)
        limit(2.0)
        var sent = 0
        while (waitMillis() == 0.0) {
            limits.recordSend(server)
            sent++
        }
        expectThat(sent).isEqualTo(1)
    }

    @Test
    fun `a node passes on only what it read itself`() {
        report(2.0, ageMillis = 100)
        expectThat(limits.size).isEqualTo(1)
        expectThat(limits.reports()).isEqualTo(emptyMap())
        limit(2.0)
        expectThat(limits.reports()[server.id]).isEqualTo(ServerLimitReport(2.0, incarnation = 5, ageMillis = 0))
    }

    @Test
    fun `a node that has just started sends nothing until it knows the others`() {
        limit(1_000.0)
        timer.advance(2_900)
        expectThat(waitMillis()).isNotNull().isGreaterThan(0.0)
        timer.advance(200)
        expectThat(waitMillis()).isEqualTo(0.0)
    }

    @Test
    fun `a share that a leaving node gives up is used after three seconds`() {
        timer.advance(60_000)
        // One of many servers whose limit another node holds.
        members.recordContact(node("vm-2"), isLeaving = false)
        val held = (1..50).map { server("i-$it", incarnation = 5) }.first {
            limit(0.5, it)
            (limits.waitMillis(it, isSpare = false) ?: 0.0) >= 8_000.0
        }
        members.recordContact(node("vm-2"), isLeaving = true)
        timer.advance(10)
        expectThat(limits.waitMillis(held, isSpare = false)).isNotNull().isIn(3_000.0..5_000.0)
    }

    @Test
    fun `a leaving node sends nothing to a server with a limit`() {
        timer.advance(60_000)
        limit(5.0)
        holders.isLeaving = true
        expectThat(waitMillis()).isNull()
    }
}
