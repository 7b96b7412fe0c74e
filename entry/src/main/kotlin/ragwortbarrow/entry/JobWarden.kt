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
 * Gives batch jobs whose node is gone to other nodes. After each change of the membership one node, the coordinator,
 * reads the jobs and tells the nodes to which they fall; it also reminds the others of the jobs that they run. Two
 * nodes that take the same job do no harm to its results, since chunks of results are only ever created.
 */
class JobWarden(
    private val members: FleetMembers,
    private val plan: RelayPlan,
    private val connector: FleetConnector,
    private val records: JobStore,
    private val runner: JobRunner,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
    private val settleMillis: Long = 500,
    private val periodMillis: Long = 15_000,
) {
    private var isSweeping = false
    private var isScheduled = false
    private var mostSilentSinceMillis: Long? = null
    private val closed = HashSet<String>()

    /** Starts after [firstMillis], when the other nodes had time to make themselves known. */
    fun start(firstMillis: Long = FIRST_SWEEP_MILLIS) {
        schedule(firstMillis)
        timer.every(periodMillis) { schedule(0) }
    }

    /** The set of reachable nodes has changed. */
    fun membershipChanged() = schedule(settleMillis)

    private fun schedule(delayMillis: Long) {
        if (isScheduled) return
        isScheduled = true
        timer.once(delayMillis) {
            isScheduled = false
            if (!mayTakeOver()) {
                schedule(RETRY_MILLIS)
            } else if (plan.isCoordinator()) {
                scope.launch { sweep() }
            }
        }
    }

    /** A node that hears of few others is probably cut off itself; it waits before it takes their jobs. */
    private fun mayTakeOver(): Boolean {
        val nowMillis = timer.monotonicMillis()
        if (members.unreachableCount * 2 <= members.size - 1) {
            mostSilentSinceMillis = null
            return true
        }
        val since = mostSilentSinceMillis ?: nowMillis.also { mostSilentSinceMillis = it }
        return nowMillis - since >= CUT_OFF_PATIENCE_MILLIS
    }

    private suspend fun sweep() {
        if (isSweeping) return
        isSweeping = true
        try {
            val jobs = records.jobs().getOrElse { return failed("jobs", it) }
            val states = records.states().getOrElse { return failed("job states", it) }
            val open = jobs.filter { it.id !in closed && isOpen(it, states[it.id] ?: JobState()) }
            val candidates = members.reachable() + members.self
            val byNode = open.groupBy { nodeFor(it, states[it.id]?.holder ?: it.holder, candidates) }
            for ((node, itsJobs) in byNode) tell(node, itsJobs.map { it.id })
        } finally {
            isSweeping = false
        }
    }

    private fun failed(what: String, error: Any) {
        log.record("sweep_failed", "reading" to what, "reason" to error)
        schedule(RETRY_MILLIS)
    }

    private fun isOpen(job: BatchJob, state: JobState): Boolean {
        if (!state.isCancelled && !state.isFinished) return true
        closed += job.id
        if (state.isCancelled) runner.end(job.id)
        return false
    }

    /** The node that runs [job], or the one to which it falls because its [holder] is gone. */
    private fun nodeFor(job: BatchJob, holder: JobHolder, candidates: List<FleetNode>): FleetNode =
        candidates.firstOrNull { members.mayRun(holder) && it.vm.value == holder.vm }
            ?: checkNotNull(RendezvousHash.choose(job.id, candidates) { it.vm.value })

    private suspend fun tell(node: FleetNode, jobs: List<String>) {
        if (node == members.self) return check(jobs)
        connector.connect(node.address).checkJobs(jobs).fold(
            {},
            {
                log.record("jobs_not_told", "vm" to node.vm, "jobs" to jobs.size, "reason" to it)
                schedule(RETRY_MILLIS)
            },
        )
    }

    /**
     * [jobs] should run here: those that do not are taken over, unless the store names another node that runs them.
     * Those for which the store does not answer are checked again.
     */
    suspend fun check(jobs: List<String>) {
        val failed = jobs.filter { id ->
            val error = check(id).fold({ null }, { it })
            if (error != null) log.record("job_not_checked", "job" to id, "reason" to error)
            error != null && error !is StoreError.NotFound
        }
        if (failed.isNotEmpty()) timer.once(RETRY_MILLIS) { scope.launch { check(failed) } }
    }

    private suspend fun check(id: String): Result<Unit, StoreError> {
        if (runner.held(id) != null || runner.isStopping) return Ok(Unit)
        val job = records.job(id).getOrElse { return Err(it) }
        val state = records.state(id).getOrElse { return Err(it) }
        val holder = state.holder ?: job.holder
        if (!isOpen(job, state) || (holder != self && members.mayRun(holder))) return Ok(Unit)
        return takeOver(job, holder)
    }

    private suspend fun takeOver(job: BatchJob, from: JobHolder): Result<Unit, StoreError> {
        val results = ResultLog(job.items.size)
        records.readResults(job.id, results).getOrElse { return Err(it) }
        val after = records.updateState(job.id) { state ->
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
        if (after.holder == self &&
            !after.isFinished &&
            !after.isCancelled
        ) {
            runner.hold(job, results, isTakenOver = true)
        }
        return Ok(Unit)
    }

    private val self get() = JobHolder(members.self.vm.value, members.self.incarnation)

    private companion object {
        /** Peers introduce themselves within a few periods of exchange once the store or a seed has named them. */
        const val FIRST_SWEEP_MILLIS = 1_500L

        const val RETRY_MILLIS = 1_000L

        /** Longer than most partitions leave the majority without a node, shorter than a job's due time. */
        const val CUT_OFF_PATIENCE_MILLIS = 6_000L
    }
}
