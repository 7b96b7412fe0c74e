package ragwortbarrow.core.limits

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.withDeadline
import ragwortbarrow.core.peer.GrantReturn
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap

/**
 * Reports settled grants to their owners: spent ones with the next acquire to the same shard, and all others after a
 * short delay in one call. A report that is lost is not repeated, since the grant expires at its owner anyway.
 */
internal class SettlementOutbox(
    private val self: VmId,
    private val timer: TimerService,
    private val directory: OwnerDirectory,
    private val scope: CoroutineScope,
    private val settings: LimitSettings,
) {
    private class Box {
        var fencingNumber = 0L
        val spent = ArrayList<Long>()
        val unspent = ArrayList<GrantReturn>()
        var flushIsDue = false
    }

    private val boxes = ConcurrentHashMap<LimitShardId, Box>()

    fun add(shard: LimitShardId, fencingNumber: Long, grantId: Long, unspentTokens: Int) {
        val box = boxes.computeIfAbsent(shard) { Box() }
        val schedule = synchronized(box) {
            box.fencingNumber = fencingNumber
            if (unspentTokens > 0) box.unspent += GrantReturn(grantId, unspentTokens) else box.spent += grantId
            !box.flushIsDue.also { box.flushIsDue = true }
        }
        if (schedule) timer.once(settings.settleDelayMillis) { scope.launch { flush(shard, box) } }
    }

    /** The spent grants of [shard], which the caller reports with its acquire. */
    fun takeSpent(shard: LimitShardId): List<Long> {
        val box = boxes[shard] ?: return emptyList()
        return synchronized(box) { box.spent.toList().also { box.spent.clear() } }
    }

    private suspend fun flush(shard: LimitShardId, box: Box) {
        val request = synchronized(box) {
            box.flushIsDue = false
            val returns = box.unspent + box.spent.map { GrantReturn(it, 0) }
            box.unspent.clear()
            box.spent.clear()
            ReturnRequest(self, shard, box.fencingNumber, returns)
        }
        if (request.returns.isEmpty()) return
        val source = directory.source(shard) ?: return
        timer.withDeadline(settings.callDeadlineMillis) { source.returnTokens(request) }
    }
}
