package ragwortbarrow.core.limits

import ragwortbarrow.core.lease.StandbyState
import ragwortbarrow.core.peer.ConsentReply
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PromiseReply
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.time.TimerService

/**
 * The mechanisms that keep admissions within rate and burst. Each variant in [EACH_MISSING_ONE] lacks one of them, to
 * show that the fault test detects its absence.
 */
internal class Safeguards(
    val settings: LimitSettings = LimitSettings(),
    val bucketFactory: TokenBucketFactory = TokenBucketFactory(::TokenBucket),
    val standbyState: (MemberInfo, TimerService, LimitSettings) -> StandbyState = ::StandbyState,
) {
    companion object {
        val ALL = Safeguards()

        val EACH_MISSING_ONE: Map<String, Safeguards> = mapOf(
            "debit before sending" to Safeguards(bucketFactory = { share, start, level, expired ->
                object : TokenBucket(share, start, level, expired) {
                    override fun grant(
                        grantId: Long,
                        millitokens: Int,
                        step: Int,
                        nowNanos: Long,
                        endNanos: Long,
                    ): Int = minOf(millitokens, levelMillitokens(nowNanos)) / step * step

                    override fun releaseGrant(grantId: Long, unspentMillitokens: Int, nowNanos: Long) {
                        take(1, nowNanos)
                    }
                }
            }),
            "grants counted against the burst" to Safeguards(bucketFactory = { share, start, level, expired ->
                object : TokenBucket(share, start, level, expired) {
                    override fun headroomPicotokens(): Long =
                        (this.share.burstPicotokens - levelPicotokens).coerceAtLeast(0)
                }
            }),
            "empty new buckets" to Safeguards(bucketFactory = { share, start, _, expired ->
                TokenBucket(share, start, share.burstPicotokens, expired)
            }),
            "wait for the old lease" to Safeguards(settings = LimitSettings(clockMarginMillis = -5_000)),
            "exclusion of promise and consent" to Safeguards(standbyState = { self, timer, settings ->
                object : StandbyState(self, timer, settings) {
                    override fun promise(request: PromiseRequest) = PromiseReply(true)

                    override fun consent(request: ConsentRequest) = ConsentReply(true)
                }
            }),
        )
    }
}
