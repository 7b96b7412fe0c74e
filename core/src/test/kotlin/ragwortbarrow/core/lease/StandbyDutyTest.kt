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

/** Guards against two owners of a shard at a time, and against a lease that ends although its standby is there. */
class StandbyDutyTest {
    private val domain = FailureDomainId("a")
    private val shard = LimitShardId(domain, 0)
    private val self = MemberInfo(VmId("vm-2"), incarnation = 7, heartbeat = 0, domain, "10.0.0.2:1", "10.0.0.2:2")
    private val timer = ManualTimerService()
    private val settings = LimitSettings()
    private val duty = StandbyDuty(self, timer, settings)

    private fun request(fencingNumber: Long = 3, standbyIncarnation: Long = 7) =
        PromiseRequest(shard, fencingNumber, VmId("vm-1"), 5, settings.termMillis, standbyIncarnation)

    private fun consent(fencingNumber: Long = 3) = duty.consent(ConsentRequest(shard, fencingNumber, VmId("vm-3")))

    @Test
    fun `a standby that has not read its record yet promises`() {
        expectThat(duty.promise(request()).promised).isTrue()
    }

    @Test
    fun `a promise holds back consent until it has ended`() {
        timer.advance(settings.claimWaitMillis)
        duty.promise(request())
        expectThat(consent().consented).isFalse()
        timer.advance(settings.termMillis + settings.marginMillis + 1)
        expectThat(consent().consented).isTrue()
    }

    @Test
    fun `after its consent a standby promises nothing to the earlier owner`() {
        timer.advance(settings.claimWaitMillis)
        expectThat(consent().consented).isTrue()
        expectThat(duty.promise(request()).reason).isEqualTo(StandbyDuty.CONSENTED)
    }

    @Test
    fun `a later process of the standby's VM promises nothing`() {
        expectThat(duty.promise(request(standbyIncarnation = 6)).promised).isFalse()
    }
}
