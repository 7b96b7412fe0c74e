package ragwortbarrow.core.batch

import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Computes how many batch items a backend server may run: its slots minus a headroom and the online requests in flight.
 *
 * Online requests are known from the reports of the nodes that send them. The server's own load report lags, so it is
 * compared with the load known for the time it describes. Any excess is load that no node reported; it is subtracted as
 * well until the next load report.
 */
internal class SpareSlots(
    private val timer: TimerService,
    private val headroomSlots: (BackendServer) -> Int = ::defaultHeadroomSlots,
    /** How much older than its stated age a load report may be; backend servers publish them with a lag. */
    private val reportLagMillis: Long = 1_000,
    private val historyMillis: Long = 10_000,
    reporterTimeoutMillis: Long = 3_000,
) {
    private val online = OnlineLoadTable(timer, reporterTimeoutMillis)
    private val servers = HashMap<BackendServerId, ServerLoad>()

    /** The batch items that [server] may run in addition to the reported online requests. */
    fun maxItemsBesideReportedLoad(server: BackendServer): Int =
        (server.slots - headroomSlots(server) - online.inFlight(server.id)).coerceAtLeast(0)

    /** The batch items up to which [server] may be filled; takes unreported load into account as well. */
    fun maxItems(server: BackendServer): Int =
        (maxItemsBesideReportedLoad(server) - (servers[server.id]?.unreported ?: 0)).coerceAtLeast(0)

    fun onlineInFlight(server: BackendServerId): Int = online.inFlight(server)

    /** Applies the report of a node and returns the servers whose online load changed. */
    fun accept(report: OnlineLoadReport): Set<BackendServerId> = online.accept(report).onEach(::recordSample)

    /** Removes reporters that have timed out and returns the servers whose online load changed. */
    fun expire(): Set<BackendServerId> = online.expire().onEach(::recordSample)

    fun setBatchInFlight(server: BackendServerId, count: Int) {
        loadOf(server).batchInFlight = count
        recordSample(server)
    }

    /** Derives the unreported load of [server] from its own load report. */
    fun accept(server: BackendServerId, report: LoadReport) {
        val load = loadOf(server)
        val reportedAtMillis = timer.monotonicMillis() - report.ageMillis
        val known = load.maxKnown(reportedAtMillis - reportLagMillis, reportedAtMillis)
        load.unreported = (report.running + report.waiting - known).coerceAtLeast(0)
    }

    private fun loadOf(server: BackendServerId) = servers.getOrPut(server) { ServerLoad() }

    private fun recordSample(server: BackendServerId) {
        val load = loadOf(server)
        load.recordSample(timer.monotonicMillis(), load.batchInFlight + online.inFlight(server), historyMillis)
    }

    private class ServerLoad {
        var batchInFlight = 0
        var unreported = 0
        private val samples = ArrayDeque<Sample>()

        fun recordSample(nowMillis: Long, known: Int, historyMillis: Long) {
            samples.addLast(Sample(nowMillis, known))
            while (samples.size > 1 && samples[1].sinceMillis < nowMillis - historyMillis) samples.removeFirst()
        }

        /** The highest known count within the interval. */
        fun maxKnown(fromMillis: Long, untilMillis: Long): Int {
            var max = 0
            samples.forEachIndexed { index, sample ->
                val endsMillis = samples.getOrNull(index + 1)?.sinceMillis ?: Long.MAX_VALUE
                if (sample.sinceMillis <= untilMillis && endsMillis >= fromMillis) {
                    max = maxOf(max, sample.known)
                }
            }
            return max
        }
    }

    private class Sample(val sinceMillis: Long, val known: Int)
}

/** Keeps a sixteenth of the slots free, at least one, so that an online request need not wait for a preemption. */
internal fun defaultHeadroomSlots(server: BackendServer): Int = maxOf(1, server.slots / 16)
