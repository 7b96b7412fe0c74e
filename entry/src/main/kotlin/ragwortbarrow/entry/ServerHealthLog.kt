package ragwortbarrow.entry

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.time.TimerService

/** Logs when a backend server starts or stops counting as failing or stalled, at most once per period. */
internal class ServerHealthLog(
    private val tracker: ServerTracker,
    private val timer: TimerService,
    private val log: DecisionLog,
    private val periodMillis: Long = 500,
) {
    private var failing = emptySet<BackendServerId>()
    private var stalled = emptySet<BackendServerId>()

    fun start() {
        timer.every(periodMillis) { logChanges() }
    }

    private fun logChanges() {
        val servers = tracker.all().map { it.id }
        val failingNow = servers.filterTo(HashSet()) { tracker.isFailing(it) }
        val stalledNow = servers.filterTo(HashSet()) { tracker.isStalled(it) }
        for (server in failingNow - failing) record("server_failing", server)
        for (server in stalledNow - stalled) record("server_silent", server)
        for (server in (failing + stalled) - failingNow - stalledNow) record("server_sound", server)
        failing = failingNow
        stalled = stalledNow
    }

    private fun record(event: String, server: BackendServerId) {
        val outcomes = tracker.outcomes(server)
        log.record(event, "server" to server, "answered" to outcomes.answered, "failed" to outcomes.failed)
    }
}
