package ragwortbarrow.core.batch

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/** The online requests in flight that entry nodes reported, summed over the reporters. */
internal class OnlineLoadTable(private val timer: TimerService, private val silenceMillis: Long = 3_000) {
    private val reports = HashMap<VmId, Entry>()
    private val sums = HashMap<BackendServerId, Int>()

    fun inFlight(server: BackendServerId): Int = sums[server] ?: 0

    /**
     * Takes [report] unless it is older than what is known of its reporter. A report of a newer incarnation replaces
     * everything of the earlier one. Returns the servers whose sum changed.
     */
    fun accept(report: OnlineLoadReport): Set<BackendServerId> {
        val earlier = reports[report.reporter]
        if (earlier != null) {
            val known = earlier.report
            val older = report.incarnation < known.incarnation ||
                (report.incarnation == known.incarnation && report.sequence <= known.sequence)
            if (older) return emptySet()
        }
        reports[report.reporter] = Entry(report, timer.monotonicMillis())
        return replace(earlier?.report?.inFlight.orEmpty(), report.inFlight)
    }

    /** Drops reporters that were silent for too long, and returns the servers whose sum changed. */
    fun expire(): Set<BackendServerId> {
        val nowMillis = timer.monotonicMillis()
        val silent = reports.filterValues { nowMillis - it.receivedAtMillis >= silenceMillis }
        return silent.flatMapTo(HashSet()) { (vm, entry) ->
            reports.remove(vm)
            replace(entry.report.inFlight, emptyMap())
        }
    }

    private fun replace(before: Map<BackendServerId, Int>, after: Map<BackendServerId, Int>): Set<BackendServerId> {
        val changed = (before.keys + after.keys).filterTo(HashSet()) { before[it] != after[it] }
        changed.forEach { server ->
            val sum = inFlight(server) + (after[server] ?: 0) - (before[server] ?: 0)
            if (sum == 0) sums.remove(server) else sums[server] = sum
        }
        return changed
    }

    private class Entry(val report: OnlineLoadReport, val receivedAtMillis: Long)
}
