package ragwortbarrow.core.serverlimit

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.traffic.ServiceSettings

/**
 * Knows which backend servers are cold: a server that has just started tolerates few requests per second from all nodes
 * together.
 *
 * A server's entry has the time for which it stays cold, counted from when this node first saw that revision of the
 * entry. Without a readable time it is cold from when it was first seen. A server that refused a connection, or whose
 * failure domain was evacuated, may have started again: it is treated as cold until a newer entry has a time. Only
 * services whose settings name a rate for cold servers have any. Confined to one thread.
 */
internal class ColdServers(
    private val timer: TimerService,
    private val settings: (service: String) -> ServiceSettings,
    private val log: DecisionLog,
) {
    private class Observation(val revision: Long, val incarnation: Long?, val remainingMillis: Long?, val atNanos: Long)

    /** A server that may have started again; entries up to [revision] are older than that. */
    private class Suspicion(val revision: Long, val untilNanos: Long)

    private val observations = HashMap<BackendServerId, Observation>()
    private val suspicions = HashMap<BackendServerId, Suspicion>()
    private var servers = emptyMap<BackendServerId, BackendServer>()

    /** Number of listed servers that are cold. */
    val size: Int get() = servers.values.count { requestsPerSecond(it) != null }

    /** Replaces the list of servers. */
    fun replace(listed: Collection<BackendServer>) {
        servers = listed.associateBy { it.id }
        observations.keys.retainAll(servers.keys)
        suspicions.keys.retainAll(servers.keys)
        listed.forEach { observe(it) }
    }

    private fun observe(server: BackendServer): Observation {
        val last = observations[server.id]
        if (last != null && server.entryRevision <= last.revision) return last
        val known = last?.takeIf { it.incarnation == server.incarnation }
        val wasCold = known != null && isCold(known, server)
        val observation = Observation(
            server.entryRevision,
            server.incarnation,
            server.coldRemainingMillis,
            // An entry without a readable time leaves the server as cold as it was.
            known?.atNanos?.takeIf { server.coldRemainingMillis == null } ?: timer.nanoTime(),
        )
        observations[server.id] = observation
        if (!observation.hasTime) {
            if (known?.hasTime != false) logUnreadableTime(server)
        } else if (suspicions[server.id]?.let { it.revision < server.entryRevision } == true) {
            suspicions -= server.id
        }
        if (!wasCold && requestsPerSecond(server) != null) logCold(server, "entry", remainingMillis(server))
        return observation
    }

    private val Observation.hasTime: Boolean get() = remainingMillis != null

    /** Records an entry that may differ from the listed one in its revision and remaining time alone. */
    fun recordHeartbeat(server: BackendServer) {
        if (server.id in servers) observe(server)
    }

    /** Records that [server] refused a connection, so that its process may have ended. */
    fun recordRefusedConnection(server: BackendServer) =
        suspect(server, observe(server).revision, SUSPECTED_MILLIS, "connection_refused")

    /** Records that the evacuation of [domain] ended at [revision] of the platform's store. */
    fun recordEvacuationEnd(domain: FailureDomainId, revision: Long) {
        for (server in servers.values.filter { it.failureDomain == domain }) {
            suspect(server, revision, settings(server.service).coldStartMillis, "evacuation_ended")
        }
    }

    private fun suspect(server: BackendServer, revision: Long, millis: Long, reason: String) {
        if (settings(server.service).coldRequestsPerSecond <= 0) return
        val observed = observe(server)
        if (observed.revision > revision && observed.hasTime) return
        val wasCold = requestsPerSecond(server) != null
        suspicions[server.id] = Suspicion(revision, timer.nanoTime() + millis * NANOS_PER_MILLI)
        if (!wasCold) logCold(server, reason, millis)
    }

    private fun logUnreadableTime(server: BackendServer) {
        if (settings(server.service).coldRequestsPerSecond <= 0) return
        log.record("server_cold_untold", "server" to server.id, "revision" to server.entryRevision)
    }

    private fun logCold(server: BackendServer, reason: String, millis: Long) = log.record(
        "server_cold",
        "server" to server.id,
        "incarnation" to server.incarnation,
        "revision" to server.entryRevision,
        "reason" to reason,
        "cold_ms" to millis,
    )

    /** The requests per second that [server] tolerates from all nodes together; null if it is not cold. */
    fun requestsPerSecond(server: BackendServer): Double? {
        val rate = settings(server.service).coldRequestsPerSecond
        if (rate <= 0 || remainingMillis(server) <= 0) return null
        return rate
    }

    /** The time for which [server] stays cold as far as is known; 0 if it is not cold. */
    fun remainingMillis(server: BackendServer): Long {
        val nowNanos = timer.nanoTime()
        val suspectedNanos = suspicions[server.id]?.let { it.untilNanos - nowNanos } ?: 0
        val coldNanos = endNanos(observe(server), server) - nowNanos
        return (maxOf(suspectedNanos, coldNanos, 0) + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI
    }

    private fun isCold(observation: Observation, server: BackendServer) =
        endNanos(observation, server) > timer.nanoTime()

    private fun endNanos(observation: Observation, server: BackendServer): Long {
        val millis = observation.remainingMillis ?: settings(server.service).coldStartMillis
        return observation.atNanos + millis * NANOS_PER_MILLI
    }

    private companion object {
        /** Longer than a server that runs takes to renew its entry. */
        const val SUSPECTED_MILLIS = 10_000L
    }
}
