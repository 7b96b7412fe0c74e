package ragwortbarrow.entry

import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.JobState
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoredObject
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** States of jobs that are read from the store, because the node that wrote them told nobody. */
class JobStateFollowerTest {
    private val fixture = JobRunnerFixture()
    private val self = JobHolder(fixture.self.vm.value, fixture.self.incarnation)
    private val other = JobHolder("vm-2", incarnation = 5)
    private val follower =
        JobStateFollower(fixture.runner, fixture.cancelledJobs, fixture.jobStore, self, fixture.timer)

    init {
        fixture.cancelledJobs.onCancelled = { fixture.runner.cancelJob(it) }
    }

    @AfterEach
    fun close() = fixture.close()

    /** Stores [state] as another node does, and returns the stored object. */
    private fun store(state: JobState): StoredObject {
        var stored: StoredObject? = null
        fixture.scope.launch {
            fixture.jobStore.updateState("job") { state }
            stored = fixture.objects.get(ObjectKind.ENTRY_JOB_STATES, "job").getOrThrow { AssertionError(it.message) }
        }
        fixture.dispatcher.runQueued()
        return checkNotNull(stored)
    }

    private fun startJob() = fixture.runner.startJob(fixture.job(items = 4), ResultLog(4))

    private fun update(stored: StoredObject) {
        follower.update(stored)
        fixture.dispatcher.runQueued()
    }

    /** Guards against items that run after the end of their job, if the node that stored the end was killed. */
    @Test
    fun `a job that was ended stops`() {
        startJob()
        update(store(JobState(isCancelled = true)))
        expectThat(fixture.runner.activeJob("job")?.isStopped).isEqualTo(true)
    }

    /** Guards against an end that is stored while this node takes the job over. */
    @Test
    fun `a job that was ended before it starts here does not run`() {
        update(store(JobState(holder = self, isCancelled = true)))
        startJob()
        expectThat(fixture.runner.activeJob("job")).isNull()
    }

    @Test
    fun `a job that another node has taken over is let go`() {
        startJob()
        update(store(JobState(holder = other)))
        expectThat(fixture.runner.activeJob("job")).isNull()
    }

    @Test
    fun `a job that has come back since the change goes on`() {
        startJob()
        val taken = store(JobState(holder = other))
        store(JobState(holder = self))
        update(taken)
        expectThat(fixture.runner.activeJob("job")).isNotNull()
    }

    /** The other nodes that run jobs read it too, and announcements of old ends would grow with their number. */
    @Test
    fun `an end that was read from the store is not announced`() {
        update(store(JobState(isCancelled = true)))
        expectThat(fixture.cancelledJobs.recent()).isEmpty()
    }

    @Test
    fun `an end that this node handles is announced although it was read from the store first`() {
        update(store(JobState(isCancelled = true)))
        fixture.cancelledJobs.add("job")
        expectThat(fixture.cancelledJobs.recent()).isEqualTo(listOf("job"))
    }

    /** Each watch that waits costs calls to the platform. */
    @Test
    fun `states are followed while a job runs and for some time after it`() {
        expectThat(follower.isNeeded()).isFalse()
        startJob()
        expectThat(follower.isNeeded()).isTrue()
        fixture.runner.cancelJob("job")
        fixture.timer.advance(5_000)
        expectThat(follower.isNeeded()).isTrue()
        fixture.timer.advance(10_000)
        expectThat(follower.isNeeded()).isFalse()
    }
}
