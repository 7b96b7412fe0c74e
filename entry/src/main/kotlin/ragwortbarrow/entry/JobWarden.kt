package ragwortbarrow.entry

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.jobs.BatchJob
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.JobRecords
import ragwortbarrow.core.jobs.JobState
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.membership.RendezvousHash
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Takes over batch jobs whose node is gone. After each change of the membership the reachable nodes read the jobs, and
 * each takes those that fall to it. Two nodes that take the same job do no harm to its results, since chunks of results
 * are only ever created.
 */
class JobWarden(
    private val members: FleetMembers,
    private val records: JobRecords,
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
            if (mayTakeOver()) scope.launch { sweep() } else schedule(RETRY_MILLIS)
        }
    }

    /** A node that hears of few others is probably cut off itself; it waits before it takes their jobs. */
    private fun mayTakeOver(): Boolean {
        val nowMillis = timer.monotonicMillis()
        if (members.silent * 2 <= members.size - 1) {
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
            for (job in jobs) if (job.id !in closed) inspect(job, states[job.id] ?: JobState())
        } finally {
            isSweeping = false
        }
    }

    private fun failed(what: String, error: Any) {
        log.record("sweep_failed", "reading" to what, "reason" to error)
        schedule(RETRY_MILLIS)
    }

    private suspend fun inspect(job: BatchJob, state: JobState) {
        if (state.isEnded || state.isFinished) {
            closed += job.id
            if (state.isEnded) runner.end(job.id)
            return
        }
        val holder = state.holder ?: job.holder
        if (holder != self && runner.held(job.id) != null) runner.release(job.id, holder)
        if (members.mayRun(holder)) {
            // This node was restarted by nobody, yet does not run the job: it was told to drop it by mistake.
            if (holder == self && runner.held(job.id) == null) takeOver(job, holder)
            return
        }
        val candidates = members.reachable() + members.self
        if (RendezvousHash.choose(job.id, candidates) { it.vm.value } != members.self) return
        takeOver(job, holder)
    }

    private suspend fun takeOver(job: BatchJob, from: JobHolder) {
        val results = ResultLog(job.items.size)
        records.readResults(job.id, results).fold({}, { return failed("results of ${job.id}", it) })
        val after = records.changeState(job.id) { state ->
            val isUnchanged = (state.holder ?: job.holder) == from && !state.isEnded
            if (isUnchanged) state.copy(holder = self, isFinished = results.isFull) else null
        }.getOrElse { return failed("state of ${job.id}", it) }
        log.record(
            "job_taken_over",
            "job" to job.id,
            "from" to from.vm,
            "holder" to after.holder?.vm,
            "stored" to results.size,
            "total" to job.items.size,
        )
        if (after.holder == self && !after.isFinished && !after.isEnded) runner.hold(job, results, isTakenOver = true)
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
