package ragwortbarrow.core.fleet

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class FleetMembersTest {
    private val timer = ManualTimerService()
    private val members = FleetMembers(FleetNode(VmId("a"), "10.0.0.1:1", 1), timer)
    private val other = FleetNode(VmId("b"), "10.0.0.2:1", 5)

    @Test
    fun `an unreachable node stays a member because it may still run behind a partition`() {
        members.recordContact(other, isLeaving = false)
        timer.advance(2_000)
        expectThat(members.unreachableCount).isEqualTo(1)
        expectThat(members.size).isEqualTo(2)
        expectThat(members.reachable()).isEmpty()
    }

    @Test
    fun `a node that is unreachable for long is removed`() {
        members.recordContact(other, isLeaving = false)
        timer.advance(31_000)
        expectThat(members.removeExpired()).containsExactly(other)
        expectThat(members.size).isEqualTo(1)
    }

    @Test
    fun `a node that was removed without leaving is known as former until it or its address returns`() {
        val replaced = FleetNode(VmId("c"), "10.0.0.3:1", 5)
        val left = FleetNode(VmId("d"), "10.0.0.4:1", 5)
        members.recordContact(other, isLeaving = false)
        members.recordContact(replaced, isLeaving = false)
        members.recordContact(left, isLeaving = true)
        timer.advance(31_000)
        members.removeExpired()
        expectThat(members.former()).containsExactlyInAnyOrder(other, replaced)
        members.recordContact(other.copy(address = "10.0.0.9:1", incarnation = 6), isLeaving = false)
        members.recordContact(replaced.copy(vm = VmId("e")), isLeaving = false)
        expectThat(members.former()).isEmpty()
    }

    @Test
    fun `a node that expired without leaving may be running for ten minutes`() {
        members.recordContact(other, isLeaving = false)
        timer.advance(31_000)
        members.removeExpired()
        expectThat(members.possiblyRunning()).containsExactly(other)
        val before = members.compositionCount
        timer.advance(569_000)
        members.removeExpired()
        expectThat(members.possiblyRunning()).containsExactly(other)
        timer.advance(1_000)
        members.removeExpired()
        expectThat(members.possiblyRunning()).isEmpty()
        expectThat(members.compositionCount).isEqualTo(before + 1)
    }

    /** The platform's store names nodes that ended long ago. */
    @Test
    fun `a node that was never heard from counts as ended once it has expired`() {
        members.addMember(other)
        timer.advance(29_000)
        members.removeExpired()
        expectThat(members.possiblyRunning()).containsExactly(other)
        timer.advance(2_000)
        members.removeExpired()
        expectThat(members.possiblyRunning()).isEmpty()
        expectThat(members.sizeWithExpired).isEqualTo(1)
        expectThat(members.former()).containsExactly(other)
    }

    @Test
    fun `the composition changes when a member joins or leaves, not when it is unreachable or restarts`() {
        members.recordContact(other, isLeaving = false)
        val before = members.compositionCount
        timer.advance(2_000)
        members.recordContact(other.copy(incarnation = 6), isLeaving = false)
        expectThat(members.compositionCount).isEqualTo(before)
        members.recordContact(other.copy(incarnation = 6), isLeaving = true)
        expectThat(members.compositionCount).isEqualTo(before + 1)
    }

    @Test
    fun `the composition does not change while a node expires and returns, since it may be running all the time`() {
        members.recordContact(other, isLeaving = false)
        members.removeExpired()
        val before = members.compositionCount
        timer.advance(31_000)
        expectThat(members.removeExpired()).containsExactly(other)
        members.recordContact(other, isLeaving = false)
        members.removeExpired()
        expectThat(members.compositionCount).isEqualTo(before)
    }

    @Test
    fun `a restarted node is a different job holder than before`() {
        members.recordContact(other, isLeaving = false)
        expectThat(members.mayRun(other.vm, 5)).isTrue()
        expectThat(members.recordContact(other.copy(incarnation = 6), isLeaving = false)).isTrue()
        expectThat(members.mayRun(other.vm, 5)).isFalse()
        expectThat(members.mayRun(other.vm, 6)).isTrue()
    }

    @Test
    fun `a leaving node no longer runs jobs`() {
        members.recordContact(other, isLeaving = true)
        expectThat(members.mayRun(other.vm, 5)).isFalse()
        expectThat(members.reachable()).isEmpty()
    }

    @Test
    fun `a late message from an earlier start of the process changes nothing`() {
        members.recordContact(other.copy(incarnation = 6), isLeaving = false)
        expectThat(members.recordContact(other, isLeaving = true)).isFalse()
        expectThat(members.mayRun(other.vm, 6)).isTrue()
    }

    @Test
    fun `a silent node has failed only after some seconds and a restarted one at once`() {
        members.recordContact(other, isLeaving = false)
        timer.advance(3_500)
        expectThat(members.hasFailed(other.vm, 5)).isFalse()
        expectThat(members.hasFailed(other.vm, 4)).isTrue()
        timer.advance(1_000)
        expectThat(members.hasFailed(other.vm, 5)).isTrue()
    }
}
