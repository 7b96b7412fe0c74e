package ragwortbarrow.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.fleet.FleetConnector
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.RelayPlan
import ragwortbarrow.core.jobs.BatchJob
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.JobState
import ragwortbarrow.core.jobs.JobStore
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Reassigns batch jobs whose holder has failed. After each membership change one node, the coordinator, reads the jobs
 * and sends each node the list of those that it should run, including those that it already runs. Two nodes that take
 * the same job cannot corrupt its results, since chunks of results are created and never overwritten.
 */
class JobFailover(
    private val members: FleetMembers,
    private val plan: RelayPlan,
    private val connector: FleetConnector,
    private val jobStore: JobStore,
    private val runner: JobRunner,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
    private val membershipDelayMillis: Long = 500,
    private val periodMillis: Long = 15_000,
) {
    /** Called with a job that this node has taken over. */
    var onTakenOver: (job: String) -> Unit = {}
    private var isReassigning = false
    private var isScheduled = false
    private var majorityLostSinceMillis: Long? = null
    private val closedJobs = HashSet<String>()

    /** Starts after [initialDelayMillis], so that the other nodes have joined the membership. */
    fun start(initialDelayMillis: Long = INITIAL_DELAY_MILLIS) {
        schedule(initialDelayMillis)
        timer.every(periodMillis) { schedule(0) }
        val contact = LostContact(members, timer, onRegained = runner::reconcileAllJobs)
        timer.every(CONTACT_CHECK_MILLIS) { contact.check() }
    }

    /** Called when the set of reachable nodes has changed. */
    fun onMembershipChange() = schedule(membershipDelayMillis)

    private fun schedule(delayMillis: Long) {
        if (isScheduled) return
        isScheduled = true
        timer.once(delayMillis) {
            isScheduled = false
            if (!mayTakeOver()) {
                schedule(RETRY_MILLIS)
            } else if (plan.isCoordinator()) {
                scope.launch { reassignJobs() }
            }
        }
    }

    /** A node that reaches only a minority is probably partitioned itself, so it waits before it takes over jobs. */
    private fun mayTakeOver(): Boolean {
        val nowMillis = timer.monotonicMillis()
        if (members.unreachableCount * 2 <= members.size - 1) {
            majorityLostSinceMillis = null
            return true
        }
        val since = majorityLostSinceMillis ?: nowMillis.also { majorityLostSinceMillis = it }
        return nowMillis - since >= PARTITION_WAIT_MILLIS
    }

    private suspend fun reassignJobs() {
        // The change that called for this reassignment may have come after the running one read the jobs.
        if (isReassigning) return schedule(RETRY_MILLIS)
        isReassigning = true
        try {
            val jobs = jobStore.jobs().getOrElse { return retryLater("jobs", it) }
            val states = jobStore.states().getOrElse { return retryLater("job states", it) }
            val open = jobs.filter { it.id !in closedJobs && isOpen(it, states[it.id] ?: JobState()) }
            val candidates = members.reachable() + members.self
            val (silent, assignable) = open.partition { isSilent(states[it.id]?.holder ?: it.holder) }
            val byNode = assignable.groupBy { chooseNode(it, states[it.id]?.holder ?: it.holder, candidates) }
            for ((node, itsJobs) in byNode) assign(node, itsJobs.map { it.id })
            if (silent.isNotEmpty()) schedule(SILENT_RETRY_MILLIS)
        } finally {
            isReassigning = false
        }
    }

    private fun retryLater(what: String, error: Any) {
        log.record("sweep_failed", "reading" to what, "reason" to error)
        schedule(RETRY_MILLIS)
    }

    private fun isOpen(job: BatchJob, state: JobState): Boolean {
        if (!state.isCancelled && !state.isFinished) return true
        closedJobs += job.id
        if (state.isCancelled) runner.cancelJob(job.id)
        return false
    }

    /** Whether [holder] cannot be told of its jobs now, but may still run them. */
    private fun isSilent(holder: JobHolder) = !members.mayRun(holder) && !members.hasFailed(holder)

    /** The node that runs [job], or its new holder if [holder] has failed. */
    private fun chooseNode(job: BatchJob, holder: JobHolder, candidates: List<FleetNode>): FleetNode =
        candidates.firstOrNull { members.mayRun(holder) && it.vm.value == holder.vm }
            ?: checkNotNull(RendezvousHash.choose(job.id, candidates) { it.vm.value })

    private suspend fun assign(node: FleetNode, jobs: List<String>) {
        if (node == members.self) return ensureRunning(jobs)
        connector.connect(node.address).checkJobs(jobs).fold(
            {},
            {
                log.record("jobs_not_told", "vm" to node.vm, "jobs" to jobs.size, "reason" to it)
                schedule(RETRY_MILLIS)
            },
        )
    }

    /**
     * Takes over those of [jobs] that do not run on this node, unless they have a running holder according to the
     * store. Retries those for which the store is unreachable, not those that cannot be read.
     */
    suspend fun ensureRunning(jobs: List<String>) {
        val failed = jobs.filter { id ->
            val error = ensureRunning(id).fold({ null }, { it })
            if (error != null) log.record("job_not_checked", "job" to id, "reason" to error)
            error != null && error !is StoreError.NotFound && error !is StoreError.Rejected
        }
        if (failed.isNotEmpty()) timer.once(RETRY_MILLIS) { scope.launch { ensureRunning(failed) } }
    }

    private suspend fun ensureRunning(id: String): Result<Unit, StoreError> {
        if (runner.activeJob(id) != null || runner.isStopping) return Ok(Unit)
        val job = jobStore.job(id).getOrElse { return Err(it) }
        val state = jobStore.state(id).getOrElse { return Err(it) }
        val holder = state.holder ?: job.holder
        if (!isOpen(job, state) || (holder != self && members.mayRun(holder))) return Ok(Unit)
        if (!isSilent(holder)) return takeOver(job, holder)
        timer.once(SILENT_RETRY_MILLIS) { scope.launch { ensureRunning(listOf(id)) } }
        return Ok(Unit)
    }

    private suspend fun takeOver(job: BatchJob, from: JobHolder): Result<Unit, StoreError> {
        val results = ResultLog(job.items.size)
        jobStore.readResults(job.id, results).getOrElse { return Err(it) }
        val after = jobStore.updateState(job.id) { state ->
            val isUnchanged = (state.holder ?: job.holder) == from && !state.isCancelled
            if (isUnchanged) state.copy(holder = self, isFinished = results.isComplete) else null
        }.getOrElse { return Err(it) }
        log.record(
            "job_taken_over",
            "job" to job.id,
            "from" to from.vm,
            "holder" to after.holder?.vm,
            "stored" to results.size,
            "total" to job.items.size,
        )
        if (after.holder == self && !after.isFinished && !after.isCancelled) {
            runner.startJob(job, results, isTakenOver = true)
            onTakenOver(job.id)
        }
        return Ok(Unit)
    }

    private val self get() = JobHolder(members.self.vm.value, members.self.incarnation)

    private companion object {
        /** Peers join within a few exchange periods once the store or a seed node has listed them. */
        const val INITIAL_DELAY_MILLIS = 1_500L

        const val RETRY_MILLIS = 1_000L

        const val CONTACT_CHECK_MILLIS = 500L

        /** Half of the time after which a silent holder has failed, since each check reads the jobs from the store. */
        const val SILENT_RETRY_MILLIS = 2_000L

        /** Longer than most partitions separate a node from the majority, shorter than a job's completion target. */
        const val PARTITION_WAIT_MILLIS = 6_000L
    }
}
