package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.monotonicMillis
import kotlin.math.ln
import kotlin.random.Random

/**
 * Simulates online requests whose nodes place them by delayed reports of the other nodes. The simulated servers serve
 * requests in order of arrival; nodes know their load and speed only from their own requests and reports. A run at a
 * server takes its [slownesses] times as long as usual; they repeat over the servers.
 */
internal class ManyNodesSimulation(
    private val nodes: Int = 25,
    servers: Int = 21,
    private val domains: Int = 1,
    private val reportLagMillis: Long = 100,
    private val periodMillis: Long = 100,
    private val slownesses: List<Double> = listOf(1.0),
    private val sharesTimings: Boolean = true,
    private val usesPreferredSlots: Boolean = true,
    seed: Int = 11,
) {
    /** The outcomes of the requests of a phase; a late one got its first event after the target or was rejected. */
    class Phase {
        var placed = 0
        var queued = 0
        var late = 0
        var totalFirstEventMillis = 0.0
        val sends = HashMap<String, Int>()
        val lateShare: Double get() = late.toDouble() / placed
        val averageFirstEventMillis: Double get() = totalFirstEventMillis / placed

        /** The requests that the busiest of all [servers] got, as a multiple of the mean. */
        fun busiestShare(servers: Int) = sends.values.max() * servers / sends.values.sum().toDouble()

        override fun toString() = "$placed requests, $queued queued, $late late"
    }

    class Server(val description: BackendServer, var slowness: Double) {
        internal var freeSlots = SLOTS
        val waiting = ArrayDeque<() -> Unit>()
    }

    private val random = Random(seed)
    private val timer = ManualTimerService()
    val servers = (1..servers).associate {
        val id = BackendServerId("server-$it")
        val description = BackendServer(id, SERVICE, "10.0.0.$it:80", domain(it), SLOTS)
        id to Server(description, slownesses[it % slownesses.size])
    }
    private val vms = (1..nodes).map { VmId("vm-$it") }
    private val list = this.servers.values.map { it.description }
    val trackers = vms.map { ServerTracker(timer).apply { replace(list) } }

    /** The nodes that neither send nor get reports. */
    val cutOffNodes = HashSet<Int>()
    private val placements = trackers.mapIndexed { index, tracker ->
        val latencies = LatencyEstimates().apply {
            recordDuration(SERVICE, DURATION_MILLIS)
            recordFirstByte(SERVICE, FIRST_EVENT_MILLIS)
        }
        OnlinePlacement(tracker, latencies, domain(index), timer, Random(seed + index)).apply {
            val near = list.filter { it.failureDomain == domain(index) }
            val neighbours = vms.filterIndexed { other, _ -> domain(other) == domain(index) }
            if (usesPreferredSlots) preferredSlots = PreferredSlots.assign(near, neighbours, vms[index])
        }
    }
    private var phase = Phase()

    init {
        for (index in vms.indices) timer.once(random.nextLong(periodMillis)) { report(index) }
    }

    private fun domain(index: Int) = FailureDomainId("domain-${index % domains}")

    /** Sends requests for [millis] at a rate that occupies the share [load] of all slots on average. */
    fun runPhase(load: Double, millis: Long): Phase {
        phase = Phase()
        val perMilli = load * list.size * SLOTS / DURATION_MILLIS
        val startMillis = timer.monotonicMillis()
        var atMillis = 0.0
        while (true) {
            atMillis -= ln(1 - random.nextDouble()) / perMilli
            if (atMillis > millis) break
            timer.advance((startMillis + atMillis.toLong() - timer.monotonicMillis()).coerceAtLeast(0))
            arrive(random.nextInt(nodes))
        }
        return phase
    }

    private fun arrive(node: Int) {
        val current = phase
        current.placed++
        val request = PlacementRequest(
            SERVICE,
            remainingTargetMillis = TARGET_MILLIS,
            remainingDeadlineMillis = DEADLINE_MILLIS,
        )
        val send = placements[node].place(request) as? Placement.Send
        if (send == null) {
            current.late++
            return
        }
        val server = servers.getValue(send.server.id)
        current.sends.merge(send.server.id.value, 1, Int::plus)
        val arrivedMillis = timer.monotonicMillis()
        val recordedStartMillis =
            trackers[node].recordStart(send.server.id, isBatch = false, waitMillis = send.waitMillis)
        if (server.freeSlots == 0) current.queued++
        admit(server) {
            val slowness = server.slowness
            val firstEventMillis = timer.monotonicMillis() - arrivedMillis + FIRST_EVENT_MILLIS * slowness
            if (firstEventMillis > TARGET_MILLIS) current.late++
            current.totalFirstEventMillis += firstEventMillis
            val durationMillis = DURATION_MILLIS * random.nextDouble(MIN_DURATION_FACTOR, MAX_DURATION_FACTOR)
            timer.once((durationMillis * slowness).toLong()) {
                val events = (durationMillis / EVENT_MILLIS).toInt()
                trackers[node].speeds.recordEvents(send.server.id, events, durationMillis * slowness)
                trackers[node].recordEnd(send.server.id, isBatch = false, startMillis = recordedStartMillis)
                server.freeSlots++
                server.waiting.removeFirstOrNull()?.let { admit(server, it) }
            }
        }
    }

    private fun admit(server: Server, run: () -> Unit) {
        if (server.freeSlots == 0) {
            server.waiting.addLast(run)
        } else {
            server.freeSlots--
            run()
        }
    }

    /**
     * Delivers this node's current loads and timings to the others after [reportLagMillis], and to those of other
     * failure domains after three times as long.
     */
    private fun report(index: Int) {
        timer.once(periodMillis) { report(index) }
        if (index in cutOffNodes) return
        val loads = trackers[index].localLoads().toMap()
        val timings = if (sharesTimings) trackers[index].speeds.localTimings() else emptyMap()
        for ((isNear, receivers) in vms.indices.minus(index).groupBy { domain(it) == domain(index) }) {
            timer.once(if (isNear) reportLagMillis else reportLagMillis * RELAYS) {
                for (receiver in receivers.minus(cutOffNodes)) {
                    trackers[receiver].updatePeer(vms[index], loads)
                    trackers[receiver].speeds.updatePeer(vms[index], timings)
                }
            }
        }
    }

    private companion object {
        const val SERVICE = "engines"
        const val SLOTS = 8
        const val DURATION_MILLIS = 600.0
        const val EVENT_MILLIS = 30.0

        /** Reports between failure domains pass a relay at either end. */
        const val RELAYS = 3
        const val MIN_DURATION_FACTOR = 0.6
        const val MAX_DURATION_FACTOR = 1.4
        const val FIRST_EVENT_MILLIS = 70.0
        const val TARGET_MILLIS = 300.0
        const val DEADLINE_MILLIS = 5_000L
    }
}
