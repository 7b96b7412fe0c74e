package ragwortbarrow.soak

/** Injects the faults of backend servers. */
internal class ServerFaultInjector(private val fleet: SoakFleet, private val records: SoakRecords) {
    private val entryLock = Any()

    /** Runs [action] while no entry of a server changes. */
    fun withEntries(action: () -> Unit) = synchronized(entryLock) { action() }

    fun drain(server: Int) = withEntries { drainAndReplace(server) }

    private fun drainAndReplace(server: Int) {
        fleet.register(server, state = "draining")
        records.drains += ServerDrain(fleet.serverId(server), nowMillis())
        pause(DRAIN_DURATION_MILLIS)
        fleet.unregister(server)
        fleet.startServer(server)
    }

    fun leave(fault: SoakFault.Leave, durationMillis: Long) {
        val runner = fleet.server(fault.server)
        runner.isLeaving = true
        pause(durationMillis + EXTRA_LEAVING_MILLIS)
        withEntries {
            if (fleet.server(fault.server) !== runner) return@withEntries
            if (fault.isDraining) {
                drainAndReplace(fault.server)
            } else {
                fleet.unregister(fault.server)
                pause(DRAIN_DURATION_MILLIS)
                fleet.startServer(fault.server)
            }
        }
        runner.close()
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
