package ragwortbarrow.core.limits

import ragwortbarrow.core.lease.StandbyDuty
import ragwortbarrow.core.peer.ConsentReply
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PromiseReply
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.time.TimerService

/** The parts of the limits that guard the invariant; each variant lacks one guard, to show that the test misses it. */
internal class Guards(
    val settings: LimitSettings = LimitSettings(),
    val accounts: AccountFactory = AccountFactory(::Account),
    val duty: (MemberInfo, TimerService, LimitSettings) -> StandbyDuty = ::StandbyDuty,
) {
    companion object {
        val ALL = Guards()

        val WITHOUT: Map<String, Guards> = mapOf(
            "debit before sending" to Guards(accounts = { share, start, level, expired ->
                object : Account(share, start, level, expired) {
                    override fun grant(
                        grantId: Long,
                        millitokens: Int,
                        step: Int,
                        nowNanos: Long,
                        endNanos: Long,
                    ): Int = minOf(millitokens, levelMillitokens(nowNanos)) / step * step

                    override fun settle(grantId: Long, unspentMillitokens: Int, nowNanos: Long) {
                        take(1, nowNanos)
                    }
                }
            }),
            "outstanding grants held against the burst" to Guards(accounts = { share, start, level, expired ->
                object : Account(share, start, level, expired) {
                    override fun room(): Long = (this.share.burstPicotokens - level).coerceAtLeast(0)
                }
            }),
            "a new account starts empty" to Guards(accounts = { share, start, _, expired ->
                Account(share, start, share.burstPicotokens, expired)
            }),
            "wait for the old lease" to Guards(settings = LimitSettings(marginMillis = -5_000)),
            "consent and promise" to Guards(duty = { self, timer, settings ->
                object : StandbyDuty(self, timer, settings) {
                    override fun promise(request: PromiseRequest) = PromiseReply(true)

                    override fun consent(request: ConsentRequest) = ConsentReply(true)
                }
            }),
        )
    }
}
