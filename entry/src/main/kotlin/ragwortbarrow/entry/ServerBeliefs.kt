package ragwortbarrow.entry

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.time.TimerService

/** Logs when this node begins or ceases to take a backend server as failing or silent, once in a period at most. */
internal class ServerBeliefs(
    private val board: ServerTracker,
    private val timer: TimerService,
    private val log: DecisionLog,
    private val periodMillis: Long = 500,
) {
    private var failing = emptySet<BackendServerId>()
    private var silent = emptySet<BackendServerId>()

    fun start() {
        timer.every(periodMillis) { check() }
    }

    private fun check() {
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
        val seen = board.outcomes(server)
        log.record(event, "server" to server, "answered" to seen.answered, "failed" to seen.failed)
    }
}
