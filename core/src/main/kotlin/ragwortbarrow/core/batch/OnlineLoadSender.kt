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
 * Tells the dispatcher of each backend server how many online requests this node has in flight on it.
 *
 * Changes within [coalesceMillis] go together. A server that is full is reported at once, because batch work has to
 * leave it now. Fewer requests only free slots for batch work, so they may wait for [decreaseMillis]. Counts are
 * repeated every [repeatMillis], well within the silence after which a dispatcher forgets its reporter.
 */
internal class OnlineLoadSender(
    private val timer: TimerService,
    private val members: MemberView,
    private val configuration: ConfigurationView,
    private val connector: PeerConnector,
    /** Runs its coroutines one at a time. */
    private val scope: CoroutineScope,
    private val local: (OnlineLoadReport) -> Unit,
    private val coalesceMillis: Long = 10,
    private val decreaseMillis: Long = 40,
    private val repeatMillis: Long = 1_000,
) {
    private val dispatchers = BatchDispatcher(members)
    private val counts = ConcurrentHashMap<BackendServerId, Int>()
    private val outboxes = HashMap<VmId, Outbox>()
    private var repeating: TimerSubscription? = null

    fun start() {
        repeating = timer.every(repeatMillis) { scope.launch { repeatAll() } }
    }

    fun stop() {
        repeating?.cancel()
    }

    /** Takes this node's count for [server]; with [full] a request was just sent to a server without free slots. */
    fun onInFlightChanged(server: BackendServerId, inFlight: Int, full: Boolean) {
        val before = (if (inFlight == 0) counts.remove(server) else counts.put(server, inFlight)) ?: 0
        if (inFlight != before || full) {
            scope.launch { changed(server, increased = inFlight > before, full = full) }
        }
    }

    private fun changed(server: BackendServerId, increased: Boolean, full: Boolean) {
        val dispatcher = dispatcherOf(server) ?: return
        val outbox = outbox(dispatcher)
        val nowMillis = timer.monotonicMillis()
        val dueMillis = when {
            full -> nowMillis
            increased -> maxOf(nowMillis, outbox.sentAtMillis + coalesceMillis)
            else -> maxOf(nowMillis, outbox.sentAtMillis + decreaseMillis)
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
        outbox.reportsCounts = inFlight.isNotEmpty()
        val report = OnlineLoadReport(members.self.vm, members.self.incarnation, ++outbox.sequence, inFlight)
        if (outbox.member.vm == members.self.vm) {
            local(report)
        } else {
            val peer = connector.connect(outbox.member.peerAddress)
            scope.launch { peer.reportOnlineLoad(report) }
        }
    }

    private fun repeatAll() {
        counts.keys.mapNotNull { dispatcherOf(it) }.distinctBy { it.vm }.forEach { outbox(it) }
        val nowMillis = timer.monotonicMillis()
        outboxes.values.filter { it.reportsCounts || hasCounts(it) }
            .filter { nowMillis - it.sentAtMillis >= repeatMillis / 2 }
            .forEach(::send)
    }

    private fun hasCounts(outbox: Outbox) = counts.keys.any { dispatcherOf(it)?.vm == outbox.member.vm }

    private fun outbox(dispatcher: MemberInfo): Outbox =
        outboxes.getOrPut(dispatcher.vm) { Outbox(dispatcher) }.also { it.member = dispatcher }

    private fun dispatcherOf(server: BackendServerId): MemberInfo? =
        configuration.current?.backendServers?.get(server)?.let(dispatchers::of)

    private class Outbox(var member: MemberInfo) {
        var sequence = 0L
        var sentAtMillis = Long.MIN_VALUE / 2
        var dueMillis = 0L
        var pending: TimerSubscription? = null
        var reportsCounts = false
    }
}
