package ragwortbarrow.core.batch

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import ragwortbarrow.core.time.monotonicMillis
import java.util.concurrent.ConcurrentHashMap

/**
 * Reports to the dispatcher of each backend server how many online requests this node has in flight on it.
 *
 * Changes within [coalesceMillis] are sent in one report. A full server is reported immediately, because batch items
 * have to be preempted. A decrease only frees slots for batch items and may be delayed by [decreaseDelayMillis]. Counts
 * are resent every [resendIntervalMillis], well below the timeout after which a dispatcher drops a reporter.
 */
internal class OnlineLoadSender(
    private val timer: TimerService,
    private val members: MemberView,
    private val configuration: ConfigurationView,
    private val connector: PeerConnector,
    /** Must run its coroutines one at a time. */
    private val scope: CoroutineScope,
    private val deliverLocally: (OnlineLoadReport) -> Unit,
    private val coalesceMillis: Long = 10,
    private val decreaseDelayMillis: Long = 40,
    private val resendIntervalMillis: Long = 1_000,
) {
    private val dispatcherSelector = DispatcherSelector(members)
    private val counts = ConcurrentHashMap<BackendServerId, Int>()
    private val outboxes = HashMap<VmId, Outbox>()
    private var resendSubscription: TimerSubscription? = null

    fun start() {
        resendSubscription = timer.every(resendIntervalMillis) { scope.launch { resendAll() } }
    }

    fun stop() {
        resendSubscription?.cancel()
    }

    /**
     * Updates the number of requests in flight on [server]; [full] means that a request was just sent although the
     * server had no free slot.
     */
    fun onInFlightChanged(server: BackendServerId, inFlight: Int, full: Boolean) {
        val previous = (if (inFlight == 0) counts.remove(server) else counts.put(server, inFlight)) ?: 0
        if (inFlight != previous || full) {
            scope.launch { scheduleReport(server, increased = inFlight > previous, full = full) }
        }
    }

    private fun scheduleReport(server: BackendServerId, increased: Boolean, full: Boolean) {
        val dispatcher = dispatcherOf(server) ?: return
        val outbox = outbox(dispatcher)
        val nowMillis = timer.monotonicMillis()
        val dueMillis = when {
            full -> nowMillis
            increased -> maxOf(nowMillis, outbox.sentAtMillis + coalesceMillis)
            else -> maxOf(nowMillis, outbox.sentAtMillis + decreaseDelayMillis)
        }
        schedule(outbox, dueMillis, nowMillis)
    }

    private fun schedule(outbox: Outbox, dueMillis: Long, nowMillis: Long) {
        if (dueMillis <= nowMillis) {
            outbox.pending?.cancel()
            outbox.pending = null
            send(outbox)
        } else if (outbox.pending == null || dueMillis < outbox.dueMillis) {
            outbox.pending?.cancel()
            outbox.dueMillis = dueMillis
            outbox.pending = timer.once(dueMillis - nowMillis) {
                scope.launch {
                    if (outbox.pending != null && timer.monotonicMillis() >= outbox.dueMillis) {
                        outbox.pending = null
                        send(outbox)
                    }
                }
            }
        }
    }

    private fun send(outbox: Outbox) {
        val inFlight = counts.filterKeys { dispatcherOf(it)?.vm == outbox.member.vm }
        outbox.sentAtMillis = timer.monotonicMillis()
        outbox.hasReportedCounts = inFlight.isNotEmpty()
        val report = OnlineLoadReport(members.self.vm, members.self.incarnation, ++outbox.sequence, inFlight)
        if (outbox.member.vm == members.self.vm) {
            deliverLocally(report)
        } else {
            val peer = connector.connect(outbox.member.peerAddress)
            scope.launch { peer.reportOnlineLoad(report) }
        }
    }

    private fun resendAll() {
        counts.keys.mapNotNull { dispatcherOf(it) }.distinctBy { it.vm }.forEach { outbox(it) }
        val nowMillis = timer.monotonicMillis()
        outboxes.values.filter { it.hasReportedCounts || hasCounts(it) }
            .filter { nowMillis - it.sentAtMillis >= resendIntervalMillis / 2 }
            .forEach(::send)
    }

    private fun hasCounts(outbox: Outbox) = counts.keys.any { dispatcherOf(it)?.vm == outbox.member.vm }

    private fun outbox(dispatcher: MemberInfo): Outbox =
        outboxes.getOrPut(dispatcher.vm) { Outbox(dispatcher) }.also { it.member = dispatcher }

    private fun dispatcherOf(server: BackendServerId): MemberInfo? =
        configuration.current?.backendServers?.get(server)?.let(dispatcherSelector::dispatcherFor)

    private class Outbox(var member: MemberInfo) {
        var sequence = 0L
        var sentAtMillis = Long.MIN_VALUE / 2
        var dueMillis = 0L
        var pending: TimerSubscription? = null
        var hasReportedCounts = false
    }
}
