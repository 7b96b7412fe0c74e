package ragwortbarrow.soak

import java.util.concurrent.ConcurrentHashMap

/** Injects the faults of backend servers. */
internal class ServerFaultInjector(private val fleet: SoakFleet, private val records: SoakRecords) {
    private val locks = ConcurrentHashMap<Int, Any>()

    fun drain(server: Int) = replace(server) { drainAndAwait(server) }

    fun leave(fault: SoakFault.Leave, durationMillis: Long) = replace(fault.server) {
        val runner = fleet.server(fault.server)
        runner.isLeaving = true
        pause(durationMillis + EXTRA_LEAVING_MILLIS)
        if (fault.isDraining) {
            drainAndAwait(fault.server)
        } else {
            fleet.retire(fault.server)
            pause(DRAIN_DURATION_MILLIS)
        }
        runner.close()
    }

    /** Replaces [server] after [end]; a server is replaced once at a time. */
    private fun replace(server: Int, coldMillis: Long = 0, end: () -> Unit) =
        synchronized(locks.computeIfAbsent(server) { Any() }) {
            end()
            fleet.retire(server)
            fleet.startServer(server, coldMillis)
            if (coldMillis > 0) {
                records.coldStarts += ColdStart(fleet.serverId(server), nowMillis(), nowMillis() + coldMillis)
            }
        }

    private fun drainAndAwait(server: Int) {
        fleet.drain(server)
        records.drains += ServerDrain(fleet.serverId(server), nowMillis())
        pause(DRAIN_DURATION_MILLIS)
    }

    /** Replaces [server], which has ended without notice, by a cold one. */
    fun startCold(server: Int) = replace(server, coldMillis = COLD_START_MILLIS) {
        fleet.retire(server)
        fleet.server(server).close()
    }

    fun limit(fault: SoakFault.Limit, durationMillis: Long) {
        val runner = fleet.server(fault.server)
        // Limits of the same server follow each other.
        synchronized(runner) {
            val fromMillis = nowMillis()
            runner.requestLimit = fault.limit
            pause(durationMillis + EXTRA_LIMITED_MILLIS)
            records.limits += ServerLimit(runner.id, serverLink(fault.server), fault.limit, fromMillis, nowMillis())
            runner.requestLimit = null
        }
    }

    fun crash(fault: SoakFault.CrashSeries, durationMillis: Long) {
        for (server in fault.servers) {
            fleet.server(server).crash(durationMillis)
            pause(fault.gapMillis)
        }
        pause(durationMillis)
    }

    private companion object {
        /** How long a draining server continues to serve. */
        const val DRAIN_DURATION_MILLIS = 4_000L

        /** Leaves time for requests to arrive after the nodes had to apply what a server says. */
        const val EXTRA_LEAVING_MILLIS = 2_500L
        const val EXTRA_LIMITED_MILLIS = 6_000L
    }
}
