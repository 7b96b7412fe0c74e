package ragwortbarrow.core.serverlimit

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.SendPermits
import ragwortbarrow.core.time.MILLIS_PER_SECOND
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.traffic.ServiceSettings

/**
 * Keeps the requests of all nodes within the limits that backend servers name, without a call to another node per
 * request. [LimitHolders] divides a limit among a few nodes, each of which sends at a steady rate; the others send
 * nothing. What a server said last reaches all nodes with the states that they exchange.
 *
 * A node that becomes a holder waits for [SETTLE_NANOS], in which the former holder learns of the change. A holder of
 * a limit near zero still sends a request per [PROBE_INTERVAL_MILLIS], whose response shows whether the limit has
 * ended. If no node has had a response for longer, because the holders have no requests or cannot reach the server,
 * the others send one in turn. Cold servers are limited too, see [ColdPermits]. Confined to one thread.
 */
class ServerLimits(
    private val holders: LimitHolders,
    private val timer: TimerService,
    private val log: DecisionLog,
    settings: (service: String) -> ServiceSettings = { ServiceSettings(it) },
) : SendPermits {
    private class Statement(
        val requestsPerSecond: Double?,
        val incarnation: Long?,
        val atNanos: Long,
        /** Whether this node read it in a response itself. */
        val isOwn: Boolean,
    ) {
        /** The share of this node; null if it holds none. */
        var share: LimitShare? = null

        /** The [LimitHolders.changeCount] for which [share] was decided; null if it has to be decided again. */
        var sharedAtChange: Int? = null

        /** The place for which [share] was decided. */
        var rank: HolderRank? = null

        /** When this node last sent a request without a share. */
        var probedNanos: Long? = null

        /** Whether nodes have shared a limit of this process before, so that another one may hold the share. */
        var wasShared = false
    }

    private val startedNanos = timer.nanoTime()
    private val coldServers = ColdServers(timer, settings, log)
    private val coldPermits = ColdPermits(coldServers, holders, timer, SETTLE_NANOS)
    private val statements = HashMap<BackendServerId, Statement>()
    private val unreadable = HashMap<BackendServerId, Long?>()

    /** Number of servers that are treated as cold. */
    val coldSize: Int get() = coldServers.size

    /** Number of servers with a limit. */
    val size: Int get() = statements.values.count { it.requestsPerSecond != null }

    /** Records what a response of [server] says, which is described as of the time of its request. */
    fun recordResponse(server: BackendServer, limit: RequestLimit) {
        val requestsPerSecond = when (limit) {
            is RequestLimit.PerSecond -> limit.requestsPerSecond
            RequestLimit.None -> null
            RequestLimit.Unreadable -> null.also { logUnreadable(server) }
        }
        val known = statements[server.id]
        if (known == null && requestsPerSecond == null) return
        if (known != null && hasEnded(server.incarnation, known.incarnation)) return
        state(server.id, Statement(requestsPerSecond, server.incarnation, timer.nanoTime(), isOwn = true))
    }

    private fun logUnreadable(server: BackendServer) {
        if (server.id in unreadable && unreadable[server.id] == server.incarnation) return
        unreadable[server.id] = server.incarnation
        log.record("server_limit_unreadable", "server" to server.id, "incarnation" to server.incarnation)
    }

    private fun state(server: BackendServerId, statement: Statement) {
        val known = statements.put(server, statement)
        if (known?.requestsPerSecond != null && known.incarnation == statement.incarnation) {
            statement.share = known.share
            statement.rank = known.rank
            statement.probedNanos = known.probedNanos
            statement.wasShared = true
            if (known.requestsPerSecond == statement.requestsPerSecond) {
                statement.sharedAtChange = known.sharedAtChange
                return
            }
        }
        if (known?.requestsPerSecond == null && statement.requestsPerSecond == null) return
        log.record(
            "server_limit",
            "server" to server,
            "incarnation" to statement.incarnation,
            "requests_per_second" to statement.requestsPerSecond,
            "before" to known?.requestsPerSecond,
            "from" to if (statement.isOwn) "response" else "peer",
            "age_ms" to ageMillis(statement),
        )
    }

    /** What this node tells its peers: what it read itself, and for [REPORT_END_MILLIS] that a limit has ended. */
    fun reports(): Map<BackendServerId, ServerLimitReport> {
        if (statements.isEmpty()) return emptyMap()
        return statements
            .filterValues { it.isOwn && (it.requestsPerSecond != null || ageMillis(it) <= REPORT_END_MILLIS) }
            .mapValues { (_, it) -> ServerLimitReport(it.requestsPerSecond, it.incarnation, ageMillis(it)) }
    }

    /** Adds what peers read in responses. */
    fun merge(reports: Map<BackendServerId, ServerLimitReport>) {
        for ((server, report) in reports) {
            val known = statements[server]
            val atNanos = timer.nanoTime() - report.ageMillis * NANOS_PER_MILLI
            if (!isNews(report, atNanos, known)) continue
            state(server, Statement(report.requestsPerSecond, report.incarnation, atNanos, isOwn = false))
        }
    }

    private fun isNews(report: ServerLimitReport, atNanos: Long, known: Statement?): Boolean = when {
        known == null -> report.requestsPerSecond != null
        hasEnded(report.incarnation, known.incarnation) -> false
        // The age does not count the way to this node, which may be long; without a limit, too much would be sent.
        known.isOwn && report.requestsPerSecond == null -> atNanos > known.atNanos + DELIVERY_NANOS
        else -> atNanos > known.atNanos
    }

    /** Records that [server] wrote its entry again. */
    fun recordHeartbeat(server: BackendServer) = coldServers.recordHeartbeat(server)

    /** Records that [server] refused a connection, so that it may be cold when it takes the next one. */
    fun recordRefusedConnection(server: BackendServer) = coldServers.recordRefusedConnection(server)

    /** Records that the evacuation of [domain] ended at [revision] of the platform's store. */
    fun recordEvacuationEnd(domain: FailureDomainId, revision: Long) = coldServers.recordEvacuationEnd(domain, revision)

    /** Forgets what processes said that have ended: those of servers that are not listed or have started again. */
    fun retain(listed: Collection<BackendServer>) {
        coldServers.replace(listed)
        coldPermits.retain(listed)
        val servers = listed.associateBy { it.id }
        statements.entries.removeIf { (id, statement) ->
            val server = servers[id]
            // A live server's entry may be missing for a while; without an incarnation it counts as another server.
            if (server == null) {
                statement.incarnation == null || ageMillis(statement) > UNLISTED_MILLIS
            } else {
                hasEnded(statement.incarnation, server.incarnation)
            }
        }
        unreadable.keys.retainAll(servers.keys)
    }

    /**
     * Whether a server's process with [incarnation] has ended if the one with [newest] is known. A server that does not
     * tell its incarnation may still run the same process.
     */
    private fun hasEnded(incarnation: Long?, newest: Long?) =
        incarnation != null && newest != null && incarnation < newest

    override fun waitMillis(server: BackendServer, isSpare: Boolean): Double? {
        val coldWaitMillis = coldPermits.waitMillis(server, isSpare)
        return limitWaitMillis(server, isSpare)?.let { maxOf(it, coldWaitMillis) }
    }

    private fun limitWaitMillis(server: BackendServer, isSpare: Boolean): Double? {
        if (statements.isEmpty()) return 0.0
        val statement = limiting(server) ?: return 0.0
        val nowNanos = timer.nanoTime()
        return share(server, statement)?.waitMillis(nowNanos, isSpare) ?: probeWaitMillis(statement, nowNanos)
    }

    /** The time until this node may send a request although it holds no share; null if it leaves. */
    private fun probeWaitMillis(statement: Statement, nowNanos: Long): Double? {
        val rank = statement.rank ?: return null
        val heardNanos = maxOf(statement.atNanos, statement.probedNanos ?: Long.MIN_VALUE)
        val pauseMillis = UNHEARD_MILLIS + (rank.rank - rank.holders) * PROBE_STAGGER_MILLIS
        return (pauseMillis - (nowNanos - heardNanos) / NANOS_PER_MILLI).toDouble().coerceAtLeast(0.0)
    }

    override fun permitsPerSecond(server: BackendServer): Double =
        minOf(limitPermitsPerSecond(server), coldPermits.permitsPerSecond(server))

    private fun limitPermitsPerSecond(server: BackendServer): Double {
        val statement = limiting(server) ?: return Double.POSITIVE_INFINITY
        return share(server, statement)?.let { MILLIS_PER_SECOND / it.intervalMillis } ?: 0.0
    }

    override fun recordSend(server: BackendServer) {
        coldPermits.recordSend(server)
        val statement = limiting(server) ?: return
        val share = share(server, statement)
        if (share != null) share.recordSend(timer.nanoTime()) else statement.probedNanos = timer.nanoTime()
    }

    /** The limit that binds; the list of servers may be older than what the server's new process says. */
    private fun limiting(server: BackendServer): Statement? = statements[server.id]?.takeIf {
        it.requestsPerSecond != null && !hasEnded(it.incarnation, server.incarnation)
    }

    private fun share(server: BackendServer, statement: Statement): LimitShare? {
        val requestsPerSecond = statement.requestsPerSecond ?: return null
        val changeCount = holders.changeCount
        if (statement.sharedAtChange == changeCount) return statement.share
        val rank = holders.rank(server, requestsPerSecond)
        statement.rank = rank
        statement.share = if (rank?.isHolder == true) {
            updatedShare(statement, intervalMillis(rank.holders, requestsPerSecond))
        } else {
            null
        }
        statement.sharedAtChange = changeCount
        statement.wasShared = true
        return statement.share
    }

    private fun updatedShare(statement: Statement, intervalMillis: Double): LimitShare {
        statement.share?.let { return it.also { share -> share.changeInterval(intervalMillis, timer.nanoTime()) } }
        if (statement.wasShared) return LimitShare(intervalMillis, timer.nanoTime() + SETTLE_NANOS)
        // Nodes learn of a new limit together, so no other one holds this share yet. A node that has just started may
        // not know the other nodes.
        return LimitShare(intervalMillis, maxOf(statement.atNanos, startedNanos + SETTLE_NANOS))
    }

    private fun intervalMillis(holders: Int, requestsPerSecond: Double): Double =
        (holders * MILLIS_PER_SECOND / requestsPerSecond).coerceAtMost(PROBE_INTERVAL_MILLIS)

    private fun ageMillis(statement: Statement): Long = (timer.nanoTime() - statement.atNanos) / NANOS_PER_MILLI

    private companion object {
        /** Time in which all nodes learn that a node has joined, left or become a holder. */
        const val SETTLE_NANOS = 3_000_000_000L

        /** Most of the time that a report of a peer takes. */
        const val DELIVERY_NANOS = 500_000_000L

        /** Longest time between two requests to a server with a limit near zero. */
        const val PROBE_INTERVAL_MILLIS = 5_000.0

        /** Time without a response to any node after which nodes without a share send a request in turn. */
        const val UNHEARD_MILLIS = 8_000L
        const val PROBE_STAGGER_MILLIS = 1_000L

        /** Time in which all nodes learn that a limit has ended. */
        const val REPORT_END_MILLIS = 10_000L

        /** Longer than the entry of a live server is missing after an outage of the platform's store. */
        const val UNLISTED_MILLIS = 60_000L
    }
}
