package ragwortbarrow.core.lease

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.limits.LimitSettings
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Tests the rules that prevent two owners of a shard, and that a reachable standby lets the owner extend its lease. */
class StandbyStateTest {
    private val domain = FailureDomainId("a")
    private val shard = LimitShardId(domain, 0)
    private val self = MemberInfo(VmId("vm-2"), incarnation = 7, heartbeat = 0, domain, "10.0.0.2:1", "10.0.0.2:2")
    private val timer = ManualTimerService()
    private val settings = LimitSettings()
    private val standbyState = StandbyState(self, timer, settings)

    private fun request(fencingNumber: Long = 3, standbyIncarnation: Long = 7) =
        PromiseRequest(shard, fencingNumber, VmId("vm-1"), 5, settings.termMillis, standbyIncarnation)

    private fun consent(fencingNumber: Long = 3) =
        standbyState.consent(ConsentRequest(shard, fencingNumber, VmId("vm-3")))

    @Test
    fun `a standby that has not read the record yet makes a promise`() {
        expectThat(standbyState.promise(request()).promised).isTrue()
    }

    @Test
    fun `no consent is given before a promise has expired`() {
        timer.advance(settings.claimWaitMillis)
        standbyState.promise(request())
        expectThat(consent().consented).isFalse()
        timer.advance(settings.termMillis + settings.clockMarginMillis + 1)
        expectThat(consent().consented).isTrue()
    }

    @Test
    fun `after a consent the standby makes no promise to the previous owner`() {
        timer.advance(settings.claimWaitMillis)
        expectThat(consent().consented).isTrue()
        expectThat(standbyState.promise(request()).reason).isEqualTo(StandbyState.CONSENTED)
    }

    @Test
    fun `a newer process on the standby's VM makes no promise`() {
        expectThat(standbyState.promise(request(standbyIncarnation = 6)).promised).isFalse()
    }
}
