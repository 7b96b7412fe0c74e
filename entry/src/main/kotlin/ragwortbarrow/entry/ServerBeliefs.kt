package ragwortbarrow.entry

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.time.TimerService

/** Logs when a backend server starts or stops counting as failing or stalled, at most once per period. */
internal class ServerBeliefs(
    private val board: ServerTracker,
    private val timer: TimerService,
    private val log: DecisionLog,
    private val periodMillis: Long = 500,
) {
    private var failing = emptySet<BackendServerId>()
    private var silent = emptySet<BackendServerId>()

    fun start() {
        timer.every(periodMillis) { logChanges() }
    }

    private fun logChanges() {
        val servers = board.all().map { it.id }
        val failingNow = servers.filterTo(HashSet()) { board.isFailing(it) }
        val silentNow = servers.filterTo(HashSet()) { board.isStalled(it) }
        for (server in failingNow - failing) record("server_failing", server)
        for (server in silentNow - silent) record("server_silent", server)
        for (server in (failing + silent) - failingNow - silentNow) record("server_sound", server)
        failing = failingNow
        silent = silentNow
    }

    private fun record(event: String, server: BackendServerId) {
        val outcomes = board.outcomes(server)
        log.record(event, "server" to server, "answered" to outcomes.answered, "failed" to outcomes.failed)
    }
}
