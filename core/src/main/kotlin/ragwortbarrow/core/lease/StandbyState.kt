package ragwortbarrow.core.lease

import ragwortbarrow.core.limits.LimitSettings
import ragwortbarrow.core.peer.ConsentReply
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PromiseReply
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService

/**
 * The promises and consents that this process has given as a standby. For the same fencing number, a promise and a
 * consent exclude each other.
 *
 * The state is not persisted. After a restart, a process consents only once all promises of its predecessor have
 * expired. It promises only if the owner's record contains its own incarnation, because its predecessor may have
 * consented to a claim that has not reached the platform yet.
 */
internal open class StandbyState(
    private val self: MemberInfo,
    private val timer: TimerService,
    private val settings: LimitSettings,
) {
    private class ShardState {
        var record: LimitShardRecord? = null
        var promisedUntilNanos: Long? = null
        var consentedFencingNumber = 0L
    }

    private val startedNanos = timer.nanoTime()
    private val states = HashMap<LimitShardId, ShardState>()

    /** Stores [record], as read from the platform, unless a newer one is known. */
    @Synchronized
    fun updateRecord(shard: LimitShardId, record: LimitShardRecord) {
        val state = states.getOrPut(shard, ::ShardState)
        if (record.fencingNumber >= (state.record?.fencingNumber ?: 0)) state.record = record
    }

    /**
     * Promises the owner not to consent to a takeover for one term. The promise does not require that this process has
     * read a record that names it as the standby: an unneeded promise does no harm, and the platform may become
     * unreachable before a newly written record is read.
     */
    @Synchronized
    open fun promise(request: PromiseRequest): PromiseReply {
        val state = states.getOrPut(request.shard, ::ShardState)
        val record = state.record
        return when {
            // A previous process of this VM may have consented to a claim.
            request.standbyIncarnation != self.incarnation -> PromiseReply(false, NOT_STANDBY)
            record != null && record.fencingNumber > request.fencingNumber -> PromiseReply(false, NOT_OWNER)
            record != null && record.fencingNumber == request.fencingNumber && !record.isOf(request) ->
                PromiseReply(false, NOT_OWNER)
            state.consentedFencingNumber >= request.fencingNumber -> PromiseReply(false, CONSENTED)
            else -> {
                val untilNanos = timer.nanoTime() + (request.termMillis + settings.clockMarginMillis) * NANOS_PER_MILLI
                val previous = state.promisedUntilNanos
                if (previous == null || untilNanos - previous > 0) state.promisedUntilNanos = untilNanos
                PromiseReply(true)
            }
        }
    }

    /** Consents to a takeover, unless a promise of this process, or possibly of its predecessor, has not expired. */
    @Synchronized
    open fun consent(request: ConsentRequest): ConsentReply {
        val state = states.getOrPut(request.shard, ::ShardState)
        val nowNanos = timer.nanoTime()
        val restartWaitMillis = settings.claimWaitMillis - (nowNanos - startedNanos) / NANOS_PER_MILLI
        val promiseMillis = state.promisedUntilNanos?.let { (it - nowNanos) / NANOS_PER_MILLI + 1 } ?: 0
        return when {
            restartWaitMillis > 0 -> ConsentReply(false, restartWaitMillis, "restarted")
            promiseMillis > 0 -> ConsentReply(false, promiseMillis, "promised")
            else -> {
                state.consentedFencingNumber = maxOf(state.consentedFencingNumber, request.fencingNumber)
                ConsentReply(true)
            }
        }
    }

    private fun LimitShardRecord.isOf(request: PromiseRequest) =
        owner == request.owner && ownerIncarnation == request.ownerIncarnation

    companion object {
        const val NOT_STANDBY = "not the standby"
        const val NOT_OWNER = "not the owner"

        /** The owner compares this reason, so it must be the same on all nodes. */
        const val CONSENTED = "consented to a claim"
    }
}
