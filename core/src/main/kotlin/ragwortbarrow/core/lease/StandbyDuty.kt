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
 * What this process has promised to owners and consented to as a standby. A promise and a consent for the same fencing
 * number exclude each other.
 *
 * The state is lost on a restart. A restarted process consents only after every promise of its predecessor has ended,
 * and promises only under a record that names its own incarnation: its predecessor may have consented to a claim that
 * is still on its way to the platform.
 */
internal open class StandbyDuty(
    private val self: MemberInfo,
    private val timer: TimerService,
    private val settings: LimitSettings,
) {
    private class Duty {
        var record: LimitShardRecord? = null
        var promisedUntilNanos: Long? = null
        var consentedFencingNumber = 0L
    }

    private val startedNanos = timer.nanoTime()
    private val duties = HashMap<LimitShardId, Duty>()

    /** Takes note of the record as read from the platform. */
    @Synchronized
    fun sawRecord(shard: LimitShardId, record: LimitShardRecord) {
        val duty = duties.getOrPut(shard, ::Duty)
        if (record.fencingNumber >= (duty.record?.fencingNumber ?: 0)) duty.record = record
    }

    /**
     * Promises the owner to consent to no other one for a term. The owner's word that this process is its standby is
     * enough: a promise that its record does not ask for protects nothing and does no harm, and the platform may be
     * lost before this process has read a record that was just written.
     */
    @Synchronized
    open fun promise(request: PromiseRequest): PromiseReply {
        val duty = duties.getOrPut(request.shard, ::Duty)
        val record = duty.record
        return when {
            // An earlier process of this VM may have consented to a claim.
            request.standbyIncarnation != self.incarnation -> PromiseReply(false, NOT_STANDBY)
            record != null && record.fencingNumber > request.fencingNumber -> PromiseReply(false, NOT_OWNER)
            record != null && record.fencingNumber == request.fencingNumber && !record.isOf(request) ->
                PromiseReply(false, NOT_OWNER)
            duty.consentedFencingNumber >= request.fencingNumber -> PromiseReply(false, CONSENTED)
            else -> {
                val untilNanos = timer.nanoTime() + (request.termMillis + settings.marginMillis) * NANOS_PER_MILLI
                val previous = duty.promisedUntilNanos
                if (previous == null || untilNanos - previous > 0) duty.promisedUntilNanos = untilNanos
                PromiseReply(true)
            }
        }
    }

    @Synchronized
    open fun consent(request: ConsentRequest): ConsentReply {
        val duty = duties.getOrPut(request.shard, ::Duty)
        val now = timer.nanoTime()
        val restartWaitMillis = settings.claimWaitMillis - (now - startedNanos) / NANOS_PER_MILLI
        val promiseMillis = duty.promisedUntilNanos?.let { (it - now) / NANOS_PER_MILLI + 1 } ?: 0
        return when {
            restartWaitMillis > 0 -> ConsentReply(false, restartWaitMillis, "restarted")
            promiseMillis > 0 -> ConsentReply(false, promiseMillis, "promised")
            else -> {
                duty.consentedFencingNumber = maxOf(duty.consentedFencingNumber, request.fencingNumber)
                ConsentReply(true)
            }
        }
    }

    private fun LimitShardRecord.isOf(request: PromiseRequest) =
        owner == request.owner && ownerIncarnation == request.ownerIncarnation

    companion object {
        const val NOT_STANDBY = "not the standby"
        const val NOT_OWNER = "not the owner"
        const val CONSENTED = "consented to a claim"
    }
}
