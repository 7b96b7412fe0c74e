package ragwortbarrow.entry

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly

class ServerHealthLogTest {
    @Test
    fun `a failing server and its recovery are each logged once`() {
        val timer = ManualTimerService()
        val server = BackendServerId("a")
        val tracker = ServerTracker(timer).apply {
            replace(listOf(BackendServer(server, "engines", "10.0.0.1:80", FailureDomainId("dalton"), slots = 8)))
        }
        val events = ArrayList<String>()
        ServerHealthLog(tracker, timer, DecisionLog { event, _ -> events += event }).start()
        repeat(3) { tracker.recordOnlineOutcome(server, isAnswered = false) }
        timer.advance(2_000)
        expectThat(events).containsExactly("server_failing")
        timer.advance(10_000)
        expectThat(events).containsExactly("server_failing", "server_sound")
    }
}
