package ragwortbarrow.core.limits

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.withTimeoutOrNull
import ragwortbarrow.core.peer.GrantReturn
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap

/**
 * Reports released grants to their owners. Spent grants are sent with the next acquire to the same shard; all others
 * are sent in one call after a short delay. Lost reports are not retried, because the grant expires at its owner.
 */
internal class GrantReporter(
    private val self: VmId,
    private val timer: TimerService,
    private val directory: OwnerDirectory,
    private val scope: CoroutineScope,
    private val settings: LimitSettings,
) {
    private class PendingReports {
        var fencingNumber = 0L
        val spent = ArrayList<Long>()
        val unspent = ArrayList<GrantReturn>()
        var isFlushScheduled = false
    }

    private val pendingReports = ConcurrentHashMap<LimitShardId, PendingReports>()

    fun add(shard: LimitShardId, fencingNumber: Long, grantId: Long, unspentTokens: Int) {
        val reports = pendingReports.computeIfAbsent(shard) { PendingReports() }
        val schedule = synchronized(reports) {
            reports.fencingNumber = fencingNumber
            if (unspentTokens > 0) reports.unspent += GrantReturn(grantId, unspentTokens) else reports.spent += grantId
            !reports.isFlushScheduled.also { reports.isFlushScheduled = true }
        }
        if (schedule) timer.once(settings.reportDelayMillis) { scope.launch { flush(shard, reports) } }
    }

    /** Removes and returns the spent grants of [shard]; the caller sends them with its acquire. */
    fun takeSpentGrantIds(shard: LimitShardId): List<Long> {
        val reports = pendingReports[shard] ?: return emptyList()
        return synchronized(reports) { reports.spent.toList().also { reports.spent.clear() } }
    }

    private suspend fun flush(shard: LimitShardId, reports: PendingReports) {
        val request = synchronized(reports) {
            reports.isFlushScheduled = false
            val returns = reports.unspent + reports.spent.map { GrantReturn(it, 0) }
            reports.unspent.clear()
            reports.spent.clear()
            ReturnRequest(self, shard, reports.fencingNumber, returns)
        }
        if (request.returns.isEmpty()) return
        val source = directory.source(shard) ?: return
        timer.withTimeoutOrNull(settings.callTimeoutMillis) { source.returnTokens(request) }
    }
}
