package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.monotonicMillis
import kotlin.math.ln
import kotlin.random.Random

/**
 * Simulates online requests in one failure domain, whose nodes place them by delayed reports of the other nodes. The
 * simulated servers serve requests in order of arrival; nodes know their load only from their own requests and reports.
 */
internal class ManyNodesSimulation(
    private val nodes: Int = 25,
    servers: Int = 21,
    private val reportLagMillis: Long = 100,
    private val periodMillis: Long = 100,
    private val usesPreferredSlots: Boolean = true,
    seed: Int = 11,
) {
    /** The outcomes of the requests of a phase; a late one got its first event after the target or was rejected. */
    class Phase {
        var placed = 0
        var queued = 0
        var late = 0
        val lateShare: Double get() = late.toDouble() / placed

        override fun toString() = "$placed requests, $queued queued, $late late"
    }

    private class Server(val description: BackendServer) {
        var freeSlots = SLOTS
        val waiting = ArrayDeque<() -> Unit>()
    }

    private val random = Random(seed)
    private val timer = ManualTimerService()
    private val domain = FailureDomainId("dalton")
    private val servers = (1..servers).associate {
        val id = BackendServerId("server-$it")
        id to Server(BackendServer(id, SERVICE, "10.0.0.$it:80", domain, SLOTS))
    }
    private val vms = (1..nodes).map { VmId("vm-$it") }
    private val list = this.servers.values.map { it.description }
    private val trackers = vms.map { ServerTracker(timer).apply { replace(list) } }
    private val placements = trackers.mapIndexed { index, tracker ->
        val latencies = LatencyEstimates().apply {
            recordDuration(SERVICE, DURATION_MILLIS)
            recordFirstByte(SERVICE, FIRST_EVENT_MILLIS)
        }
        OnlinePlacement(tracker, latencies, domain, timer, Random(seed + index)).apply {
            if (usesPreferredSlots) preferredSlots = PreferredSlots.assign(list, vms, vms[index])
        }
    }
    private var phase = Phase()

    init {
        for (index in vms.indices) timer.once(random.nextLong(periodMillis)) { report(index) }
    }

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
        val arrivedMillis = timer.monotonicMillis()
        val recordedStartMillis =
            trackers[node].recordStart(send.server.id, isBatch = false, waitMillis = send.waitMillis)
        if (server.freeSlots == 0) current.queued++
        admit(server) {
            val firstEventMillis = timer.monotonicMillis() - arrivedMillis + FIRST_EVENT_MILLIS
            if (firstEventMillis > TARGET_MILLIS) current.late++
            timer.once((DURATION_MILLIS * random.nextDouble(MIN_DURATION_FACTOR, MAX_DURATION_FACTOR)).toLong()) {
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

    /** Delivers this node's current loads to the others after [reportLagMillis]. */
    private fun report(index: Int) {
        val loads = trackers[index].localLoads().toMap()
        timer.once(reportLagMillis) {
            trackers.forEachIndexed { other, tracker -> if (other != index) tracker.updatePeer(vms[index], loads) }
        }
        timer.once(periodMillis) { report(index) }
    }

    private companion object {
        const val SERVICE = "engines"
        const val SLOTS = 8
        const val DURATION_MILLIS = 600.0
        const val MIN_DURATION_FACTOR = 0.6
        const val MAX_DURATION_FACTOR = 1.4
        const val FIRST_EVENT_MILLIS = 70.0
        const val TARGET_MILLIS = 300.0
        const val DEADLINE_MILLIS = 5_000L
    }
}
