package ragwortbarrow.core.placement

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.monotonicMillis
import kotlin.math.ln
import kotlin.random.Random

/**
 * Replays online requests at one failure domain whose nodes place them by what the others reported some time ago. The
 * servers admit in order of arrival and are the truth; nodes see them only through their own requests and the reports.
 */
internal class ManyNodesReplay(
    private val nodes: Int = 25,
    servers: Int = 21,
    private val reportLagMillis: Long = 100,
    private val periodMillis: Long = 100,
    private val dealsSlots: Boolean = true,
    seed: Int = 11,
) {
    /** How the requests of a phase fared; a late one got its first event after the target, or was turned away. */
    class Phase {
        var placed = 0
        var queued = 0
        var late = 0
        val lateShare: Double get() = late.toDouble() / placed

        override fun toString() = "$placed requests, $queued queued, $late late"
    }

    private class Server(val description: BackendServer) {
        var free = SLOTS
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
    private val boards = vms.map { ServerTracker(timer).apply { replace(list) } }
    private val placements = boards.mapIndexed { index, board ->
        val holds = LatencyEstimates().apply {
            recordDuration(SERVICE, HOLD_MILLIS)
            recordFirstByte(SERVICE, FIRST_EVENT_MILLIS)
        }
        OnlinePlacement(board, holds, domain, Random(seed + index)).apply {
            if (dealsSlots) preferredSlots = PreferredSlots.assign(list, vms, vms[index])
        }
    }
    private var phase = Phase()

    init {
        for (index in vms.indices) timer.once(random.nextLong(periodMillis)) { report(index) }
    }

    /** Requests arrive for [millis] so often that [load] of all slots are taken on average. */
    fun phase(load: Double, millis: Long): Phase {
        phase = Phase()
        val perMilli = load * list.size * SLOTS / HOLD_MILLIS
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
        val seen = phase
        seen.placed++
        val request =
            PlacementRequest(SERVICE, remainingTargetMillis = TARGET_MILLIS, remainingDeadlineMillis = DEADLINE_MILLIS)
        val send = placements[node].place(request) as? Placement.Send
        if (send == null) {
            seen.late++
            return
        }
        val server = servers.getValue(send.server.id)
        val arrivedMillis = timer.monotonicMillis()
        val countedMillis = boards[node].recordStart(send.server.id, isBatch = false, waitMillis = send.waitMillis)
        if (server.free == 0) seen.queued++
        admit(server) {
            val firstEventMillis = timer.monotonicMillis() - arrivedMillis + FIRST_EVENT_MILLIS
            if (firstEventMillis > TARGET_MILLIS) seen.late++
            timer.once((HOLD_MILLIS * random.nextDouble(SHORTEST, LONGEST)).toLong()) {
                boards[node].recordEnd(send.server.id, isBatch = false, startMillis = countedMillis)
                server.free++
                server.waiting.removeFirstOrNull()?.let { admit(server, it) }
            }
        }
    }

    private fun admit(server: Server, run: () -> Unit) {
        if (server.free == 0) {
            server.waiting.addLast(run)
        } else {
            server.free--
            run()
        }
    }

    /** What this node has in flight now is known to the others after a while. */
    private fun report(index: Int) {
        val loads = boards[index].localLoads().toMap()
        timer.once(reportLagMillis) {
            boards.forEachIndexed { other, board -> if (other != index) board.updatePeer(vms[index], loads) }
        }
        timer.once(periodMillis) { report(index) }
    }

    private companion object {
        const val SERVICE = "engines"
        const val SLOTS = 8
        const val HOLD_MILLIS = 600.0
        const val SHORTEST = 0.6
        const val LONGEST = 1.4
        const val FIRST_EVENT_MILLIS = 70.0
        const val TARGET_MILLIS = 300.0
        const val DEADLINE_MILLIS = 5_000L
    }
}
