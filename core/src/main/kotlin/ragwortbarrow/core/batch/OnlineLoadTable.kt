package ragwortbarrow.core.batch

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/** The online requests in flight on each backend server, summed over the nodes that report them. */
internal class OnlineLoadTable(private val timer: TimerService, private val reporterTimeoutMillis: Long = 3_000) {
    private val reports = HashMap<VmId, Entry>()
    private val sums = HashMap<BackendServerId, Int>()

    fun inFlight(server: BackendServerId): Int = sums[server] ?: 0

    /**
     * Applies [report] unless a newer one of the same reporter is known. It replaces all earlier counts of the
     * reporter, including those of an earlier incarnation. Returns the servers whose sum changed.
     */
    fun accept(report: OnlineLoadReport): Set<BackendServerId> {
        val previous = reports[report.reporter]
        if (previous != null) {
            val known = previous.report
            val isStale = report.incarnation < known.incarnation ||
                (report.incarnation == known.incarnation && report.sequence <= known.sequence)
            if (isStale) return emptySet()
        }
        reports[report.reporter] = Entry(report, timer.monotonicMillis())
        return replace(previous?.report?.inFlight.orEmpty(), report.inFlight)
    }

    /** Removes reporters without a report for [reporterTimeoutMillis] and returns the servers whose sum changed. */
    fun expire(): Set<BackendServerId> {
        val nowMillis = timer.monotonicMillis()
        val silent = reports.filterValues { nowMillis - it.receivedAtMillis >= reporterTimeoutMillis }
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
