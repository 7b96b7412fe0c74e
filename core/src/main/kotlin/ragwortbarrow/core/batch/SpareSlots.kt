package ragwortbarrow.core.batch

import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * How many batch items a backend server may run: its slots less a headroom and the online requests in flight.
 *
 * Online requests are known from the entry nodes' reports. The server's own load report lags, so it is compared with
 * what was known at the instant it describes; what it shows beyond that is load that nobody reported, and is subtracted
 * as well until the next load report.
 */
internal class SpareSlots(
    private val timer: TimerService,
    private val headroomSlots: (BackendServer) -> Int = ::defaultHeadroomSlots,
    /** How much older than its stated age a load report may be; engines publish theirs with a lag. */
    private val reportLagMillis: Long = 1_000,
    private val historyMillis: Long = 10_000,
    silenceMillis: Long = 3_000,
) {
    private val online = OnlineLoadTable(timer, silenceMillis)
    private val servers = HashMap<BackendServerId, ServerLoad>()

    /** Batch items that may run on [server] beside the online requests that entry nodes reported. */
    fun allowedBesideOnline(server: BackendServer): Int =
        (server.slots - headroomSlots(server) - online.inFlight(server.id)).coerceAtLeast(0)

    /** Batch items up to which [server] may be filled: unreported load counts as well. */
    fun allowed(server: BackendServer): Int =
        (allowedBesideOnline(server) - (servers[server.id]?.unreported ?: 0)).coerceAtLeast(0)

    fun onlineInFlight(server: BackendServerId): Int = online.inFlight(server)

    /** Takes an entry node's report and returns the servers it changed. */
    fun accept(report: OnlineLoadReport): Set<BackendServerId> = online.accept(report).onEach(::sample)

    /** Drops silent reporters and returns the servers that this changed. */
    fun expire(): Set<BackendServerId> = online.expire().onEach(::sample)

    /** Notes that this node runs [count] batch items on [server]. */
    fun batchInFlight(server: BackendServerId, count: Int) {
        load(server).batchInFlight = count
        sample(server)
    }

    /** Compares the server's own report with what was known when it was made. */
    fun accept(server: BackendServerId, report: LoadReport) {
        val load = load(server)
        val madeAtMillis = timer.monotonicMillis() - report.ageMillis
        val known = load.greatestKnown(madeAtMillis - reportLagMillis, madeAtMillis)
        load.unreported = (report.running + report.waiting - known).coerceAtLeast(0)
    }

    private fun load(server: BackendServerId) = servers.getOrPut(server) { ServerLoad() }

    private fun sample(server: BackendServerId) {
        val load = load(server)
        load.sample(timer.monotonicMillis(), load.batchInFlight + online.inFlight(server), historyMillis)
    }

    private class ServerLoad {
        var batchInFlight = 0
        var unreported = 0
        private val samples = ArrayDeque<Sample>()

        fun sample(nowMillis: Long, known: Int, historyMillis: Long) {
            samples.addLast(Sample(nowMillis, known))
            while (samples.size > 1 && samples[1].sinceMillis < nowMillis - historyMillis) samples.removeFirst()
        }

        /** The greatest count known at any instant of the interval. */
        fun greatestKnown(fromMillis: Long, untilMillis: Long): Int {
            var greatest = 0
            samples.forEachIndexed { index, sample ->
                val endsMillis = samples.getOrNull(index + 1)?.sinceMillis ?: Long.MAX_VALUE
                if (sample.sinceMillis <= untilMillis && endsMillis >= fromMillis) {
                    greatest = maxOf(greatest, sample.known)
                }
            }
            return greatest
        }
    }

    private class Sample(val sinceMillis: Long, val known: Int)
}

/** One slot in sixteen is left free, at least one, so that a first online request never waits for a cancellation. */
internal fun defaultHeadroomSlots(server: BackendServer): Int = maxOf(1, server.slots / 16)
