package ragwortbarrow.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.RelayPlan
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.peer.PeerError
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Three nodes, of which the second one holds a job and this one is the coordinator. */
class JobFailoverTest {
    private val fixture = JobRunnerFixture()
    private val timer = fixture.timer
    private val holder = node(2)
    private val other = node(3)
    private val failover = JobFailover(
        fixture.members,
        RelayPlan(fixture.members, timer),
        { address -> AssignedPeer(address) },
        fixture.jobStore,
        fixture.runner,
        timer,
        fixture.scope,
        DecisionLog.NONE,
    )

    private val toldAddresses = ArrayList<String>()
    private val isTakenOver get() = fixture.runner.activeJob("job") != null || other.address in toldAddresses

    private inner class AssignedPeer(private val address: String) : UnusedPeer() {
        override suspend fun checkJobs(jobs: List<String>): Result<Unit, PeerError> {
            toldAddresses += address
            return Ok(Unit)
        }
    }

    private fun node(number: Int) =
        FleetNode(VmId("vm-$number"), "127.0.0.1:$number", incarnation = 5, FailureDomainId("dalton"))

    init {
        fixture.scope.launch { fixture.jobStore.create(fixture.job(items = 4, holder = holder)) }
        listOf(holder, other).forEach { fixture.members.recordContact(it, isLeaving = false) }
        fixture.dispatcher.runQueued()
    }

    @AfterEach
    fun close() = fixture.close()

    /** Advances time; the other node reports all the while, the holder only if [isHolderHeard]. */
    private fun advance(millis: Int, isHolderHeard: Boolean) = repeat(millis / STEP_MILLIS) {
        timer.advance(STEP_MILLIS.toLong())
        fixture.members.recordContact(other, isLeaving = false)
        if (isHolderHeard) fixture.members.recordContact(holder, isLeaving = false)
        fixture.dispatcher.runQueued()
    }

    /** A pause of its process, or a lossy link, keeps a node from reporting for a few seconds. */
    @Test
    fun `the jobs of a node that is silent for three seconds stay with it`() {
        failover.onMembershipChange()
        advance(millis = 3_000, isHolderHeard = false)
        failover.onMembershipChange()
        advance(millis = 800, isHolderHeard = false)
        advance(millis = 5_000, isHolderHeard = true)
        expectThat(isTakenOver).isFalse()
    }

    @Test
    fun `the jobs of a node that stays silent are taken over without another change of the membership`() {
        advance(millis = 1_300, isHolderHeard = false)
        failover.onMembershipChange()
        advance(millis = 6_000, isHolderHeard = false)
        expectThat(isTakenOver).isTrue()
    }

    @Test
    fun `the jobs of a node that has restarted are taken over at once`() {
        fixture.members.recordContact(holder.copy(incarnation = 6), isLeaving = false)
        failover.onMembershipChange()
        advance(millis = 1_000, isHolderHeard = false)
        expectThat(isTakenOver).isTrue()
    }

    /** The node that took the job over may have finished it by then, and reports only what it still runs. */
    @Test
    fun `a node that was cut off lets go of a job that another node has taken over`() {
        fixture.runner.startJob(fixture.job(items = 4), ResultLog(4))
        failover.start()
        advance(millis = 5_000, isHolderHeard = false)
        val taken = JobHolder(other.vm.value, other.incarnation)
        fixture.scope.launch { fixture.jobStore.updateState("job") { it.copy(holder = taken) } }
        fixture.dispatcher.runQueued()
        advance(millis = 1_000, isHolderHeard = true)
        expectThat(fixture.runner.activeJob("job")).isNull()
    }

    /** Advances time while this node hears no other one. */
    private fun cutOff(millis: Int) = repeat(millis / STEP_MILLIS) {
        timer.advance(STEP_MILLIS.toLong())
        fixture.members.removeExpired()
        fixture.dispatcher.runQueued()
    }

    private fun startJobAndFailover() {
        fixture.runner.startJob(fixture.job(items = 4), ResultLog(4))
        failover.start()
        advance(millis = 2_000, isHolderHeard = true)
    }

    private fun endJobElsewhere() {
        fixture.scope.launch { fixture.jobStore.updateState("job") { it.copy(isCancelled = true) } }
        fixture.dispatcher.runQueued()
    }

    /** Guards against items that run long after the end of their job, which other nodes announce for a limited time. */
    @Test
    fun `a node that was cut off stops a job that was ended meanwhile`() {
        startJobAndFailover()
        cutOff(millis = 10_000)
        endJobElsewhere()
        advance(millis = 1_000, isHolderHeard = true)
        expectThat(fixture.runner.activeJob("job")?.isStopped).isEqualTo(true)
    }

    /** Guards against a cut that is so long that the other nodes are no longer listed as members when it ends. */
    @Test
    fun `a node that was cut off for longer than members are kept stops a job that was ended meanwhile`() {
        startJobAndFailover()
        cutOff(millis = 40_000)
        endJobElsewhere()
        advance(millis = 1_000, isHolderHeard = true)
        expectThat(fixture.runner.activeJob("job")?.isStopped).isEqualTo(true)
    }

    /** Guards against a cut during which all other nodes restart, as in a rolling restart. */
    @Test
    fun `a node that was cut off while all others restarted stops a job that was ended meanwhile`() {
        startJobAndFailover()
        cutOff(millis = 10_000)
        endJobElsewhere()
        fixture.members.recordContact(other.copy(incarnation = 6), isLeaving = false)
        advance(millis = 1_000, isHolderHeard = false)
        expectThat(fixture.runner.activeJob("job")?.isStopped).isEqualTo(true)
    }

    private companion object {
        const val STEP_MILLIS = 100
    }
}
