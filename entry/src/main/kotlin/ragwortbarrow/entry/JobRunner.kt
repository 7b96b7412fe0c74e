package ragwortbarrow.entry

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.jobs.BatchJob
import ragwortbarrow.core.jobs.ItemProgress
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.JobStore
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.jobs.RunOutcome
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.BatchPlacement
import ragwortbarrow.core.placement.ItemRunTimes
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.placement.Slack
import ragwortbarrow.core.placement.Urgency
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import ragwortbarrow.core.traffic.Route
import ragwortbarrow.http.HttpFailure
import kotlin.random.Random

/**
 * Runs the batch jobs that this node holds: starts items in spare slots, the most urgent first, stores results in the
 * order in which they arrive, and stops items when online requests need their slots.
 */
class JobRunner(
    private val parts: Parts,
    private val protocol: EntryProtocol,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val metrics: EntryMetrics,
    private val log: DecisionLog,
) {
    class Parts(
        val configuration: ConfigurationHolder,
        val members: FleetMembers,
        val board: ServerTracker,
        val placement: BatchPlacement,
        val engines: EngineCalls,
        val records: JobStore,
    )

    private val held = LinkedHashMap<String, HeldJob>()

    /** Set when this node has begun to leave; it takes no more jobs. */
    var isStopping = false
        private set
    private var startsLeft = 1
    private val settledAtNanos = HashMap<BackendServerId, Long>()
    private val runTimes = ItemRunTimes()

    internal fun held(id: String): HeldJob? = held[id]

    /** Items that run now, and those that wait. */
    val runningItems: Int get() = held.values.sumOf { it.running.size }
    val waitingItems: Int get() = held.values.sumOf { it.waiting.size }

    /** Begins or goes on with [job], of which [results] are stored. */
    fun hold(job: BatchJob, results: ResultLog, isTakenOver: Boolean = false) {
        if (job.id in held || isStopping) return
        val route = route(job)
        held[job.id] = HeldJob(job, results, route?.maxAttempts ?: 1, isTakenOver)
        log.record("job_held", "job" to job.id, "items" to job.items.size, "stored" to results.size)
        schedule()
    }

    /** Jobs that this node took over and runs. */
    fun takenOverJobs(): List<String> = held.values.filter { it.isTakenOver && !it.log.isComplete }.map { it.job.id }

    /** Another node says that it took over [jobs]; the store says who runs those that this node runs too. */
    fun othersTook(jobs: List<String>) {
        for (id in jobs) {
            val job = held[id] ?: continue
            if (job.isConfirming) continue
            job.isConfirming = true
            scope.launch {
                confirmHolder(job)
                job.isConfirming = false
            }
        }
    }

    /**
     * Reads results that the node from which [job] was taken over may have stored since. A caller that has seen a
     * result at another node must find it here too.
     */
    internal suspend fun readAgain(job: HeldJob) {
        val nowNanos = timer.nanoTime()
        if (!job.isTakenOver || nowNanos - job.readAtNanos < READ_AGAIN_NANOS) return
        job.readAtNanos = nowNanos
        catchUp(job)
    }

    /** The job was cancelled: its items stop, and no more results are stored than have arrived. */
    fun end(id: String): Boolean {
        val job = held[id] ?: return false
        if (job.isEnded) return true
        job.isEnded = true
        job.waiting.clear()
        job.running.values.forEach { it.job?.cancel() }
        job.wakeReaders()
        log.record("job_ended", "job" to id, "stored" to job.log.size, "total" to job.job.items.size)
        return true
    }

    /** Stops an item on [server] that an online request has to wait for; false if this node has none there. */
    fun makeRoom(server: BackendServer): Boolean {
        if (parts.board.localOccupancy(server.id).batch == 0) return false
        stopItems(server, maxOf(1, parts.placement.excessItems(server)))
        return true
    }

    /** Looks at the loads again: gives slots back, then fills the spare ones. */
    fun refresh() {
        startsLeft = parts.placement.startQuota(parts.members.size)
        if (held.isEmpty()) return
        giveBack()
        expire()
        schedule()
    }

    /**
     * Stops items where online requests need more than the slots that batch leaves free. Word of it takes some time to
     * reach all nodes, so a server where this node has stopped items is left alone meanwhile.
     */
    private fun giveBack() {
        val nowNanos = timer.nanoTime()
        for (server in parts.board.all()) {
            if (nowNanos < (settledAtNanos[server.id] ?: Long.MIN_VALUE)) continue
            val excess = parts.placement.excessItems(server)
            if (excess == 0) continue
            settledAtNanos[server.id] = nowNanos + SETTLE_NANOS
            stopItems(server, excess)
        }
    }

    /** Another node has online requests that wait for slots: this one was told because it has most items there. */
    fun giveBackNow() {
        for (server in parts.board.all()) {
            if (parts.board.occupancy(server.id).total > server.slots) makeRoom(server)
        }
    }

    /** Stops all items and stores what has arrived; other nodes take the jobs over. */
    fun stop() {
        isStopping = true
        for (job in held.values) job.running.values.forEach { it.job?.cancel() }
    }

    /** The least urgent items leave first, of the same job the youngest. */
    private fun stopItems(server: BackendServer, count: Int) {
        val here = held.values.flatMap { job ->
            job.running.filterValues { it.server.id == server.id }.map { (item, run) -> run to urgency(job, item) }
        }
        val order = compareBy(Urgency.MOST_URGENT_FIRST) { item: Pair<RunningItem, Urgency> -> item.second }
            .thenBy { it.first.startedNanos }
        for ((running, _) in here.sortedWith(order.reversed()).take(count)) {
            running.job?.cancel()
            metrics.increment("batch_items_stopped")
        }
    }

    private class Candidate(val job: HeldJob, val item: ItemProgress, val route: Route, val urgency: Urgency)

    private fun schedule() {
        if (isStopping || startsLeft <= 0) return
        val candidates = held.values.filter { !it.isEnded && it.waiting.isNotEmpty() }.flatMap { candidates(it) }
        // A service without a slot for one item has none for others of the same slack.
        val full = HashSet<Pair<String, Slack>>()
        for (candidate in candidates.sortedWith(compareBy(Urgency.MOST_URGENT_FIRST) { it.urgency })) {
            if (startsLeft <= 0) return
            val service = candidate.route.service(Random.nextDouble())
            val slack = candidate.urgency.slack
            if (service to slack in full) continue
            val server = parts.placement.place(service, slack)
            if (server == null || !parts.board.tryAcquire(server.id)) {
                full += service to slack
                continue
            }
            candidate.job.waiting.remove(candidate.item)
            start(candidate.job, candidate.item, candidate.route, server)
            startsLeft--
        }
    }

    private fun candidates(job: HeldJob): List<Candidate> {
        val route = route(job.job)
        if (route == null) giveUp(job, "its route is gone")
        return if (route == null) emptyList() else job.waiting.map { Candidate(job, it, route, urgency(job, it)) }
    }

    private fun urgency(job: HeldJob, item: ItemProgress): Urgency {
        val route = route(job.job)
        val targetMillis = route?.completionTargetMillis?.takeIf { it > 0 } ?: route?.maxWaitMillis ?: 0
        return Urgency(
            dueInMillis = job.job.submittedWallMillis + targetMillis - timer.wallMillis(),
            runMillis = runTimes.fullRunMillis,
            remainingMillis = runTimes.remainingMillis(item.lastEventId ?: 0),
        )
    }

    private fun route(job: BatchJob): Route? = parts.configuration.table?.route(job.host, job.path)

    private fun start(job: HeldJob, progress: ItemProgress, route: Route, server: BackendServer) {
        val running = RunningItem(server, timer.nanoTime())
        job.running[progress] = running
        log.record(
            "item_started",
            "job" to job.job.id,
            "item" to progress.item.id,
            "server" to server.id,
            "load" to parts.board.occupancy(server.id).total,
            "after_event" to progress.lastEventId,
        )
        running.job = scope.launch {
            var outcome: RunOutcome = RunOutcome.Interrupted("stopped")
            try {
                outcome = run(job.job, progress, route, server)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: HttpFailure) {
                outcome = RunOutcome.Interrupted(failure.message.orEmpty())
            } finally {
                ended(job, progress, outcome)
            }
        }
    }

    private suspend fun run(job: BatchJob, progress: ItemProgress, route: Route, server: BackendServer): RunOutcome {
        val leftMillis = job.submittedWallMillis + route.maxWaitMillis - timer.wallMillis()
        val head = BackendRequestHead(server.id, leftMillis.coerceAtLeast(1), job.customer, progress.lastEventId)
        val startedNanos = timer.nanoTime()
        val isWhole = progress.lastEventId == null
        val request = protocol.itemRequest(progress.item, job.host, head)
        return parts.engines.run(
            server,
            request,
            progress.item.id,
            isBatch = true,
            onlyFresh = false,
            limits = HeadLimits(limitMillis = HEAD_LIMIT_MILLIS),
        ) { answer ->
            val status = answer.head.status
            when {
                answer.head.isNotRun -> {
                    answer.body.rest(MAX_ERROR_BYTES)
                    parts.board.block(server.id, FULL_PAUSE_MILLIS)
                    RunOutcome.Interrupted("server answered $status, not run")
                }
                status in 200..299 && answer.head.hasServerStamp -> read(answer, progress).also {
                    if (it == RunOutcome.Completed) parts.board.recordSuccess(server.id)
                    if (it == RunOutcome.Completed && isWhole) {
                        runTimes.recordRun(millisSince(startedNanos), progress.lastEventId ?: 0)
                    }
                }
                status in 200..299 -> throw HttpFailure.Broken("the answer bears no stamp")
                else -> {
                    answer.body.rest(MAX_ERROR_BYTES)
                    when (status) {
                        UNPROCESSABLE -> RunOutcome.Impossible
                        INTERNAL_ERROR -> RunOutcome.Failed
                        else -> RunOutcome.Interrupted("server answered $status")
                    }
                }
            }
        }
    }

    private fun millisSince(nanos: Long) = (timer.nanoTime() - nanos) / NANOS_PER_MILLI.toDouble()

    private suspend fun read(answer: EngineAnswer, progress: ItemProgress): RunOutcome {
        val splitter = EventSplitter()
        while (true) {
            var isEnd = false
            val bytes = withTimeoutOrNull(SILENCE_MILLIS) { answer.body.next().also { isEnd = it == null } }
            if (isEnd) break
            if (bytes == null) throw HttpFailure.Broken("no event for $SILENCE_MILLIS ms")
            for (event in splitter.add(bytes)) {
                val id = event.id ?: continue
                if (!progress.appendEvent(id, event.data)) throw HttpFailure.Broken("events before $id are missing")
            }
        }
        if (splitter.hasPartialEvent) throw HttpFailure.Broken("the stream ended within an event")
        return RunOutcome.Completed
    }

    private fun ended(job: HeldJob, progress: ItemProgress, outcome: RunOutcome) {
        val running = job.running.remove(progress)
        progress.applyOutcome(outcome)
        val result = progress.result
        log.record(
            "item_ended",
            "job" to job.job.id,
            "item" to progress.item.id,
            "server" to running?.server?.id,
            "last_event" to progress.lastEventId,
            "outcome" to (if (outcome is RunOutcome.Interrupted) outcome.reason else outcome::class.simpleName),
        )
        when {
            result != null -> {
                job.toStore += result
                store(job)
            }
            !job.isEnded && !isStopping -> job.waiting.addFirst(progress)
        }
        scope.launch { schedule() }
    }

    /** Gives up the items of jobs that may not be kept waiting any longer. */
    private fun expire() {
        val nowWallMillis = timer.wallMillis()
        for (job in held.values) {
            if (job.isEnded || job.waiting.isEmpty()) continue
            val maxWaitMillis = route(job.job)?.maxWaitMillis ?: continue
            if (maxWaitMillis > 0 && nowWallMillis - job.job.submittedWallMillis > maxWaitMillis) {
                giveUp(job, "it has waited for $maxWaitMillis ms")
            }
        }
    }

    private fun giveUp(job: HeldJob, reason: String) {
        log.record("items_given_up", "job" to job.job.id, "items" to job.waiting.size, "reason" to reason)
        while (true) {
            val progress = job.waiting.removeFirstOrNull() ?: break
            progress.fail()
            progress.result?.let { job.toStore += it }
        }
        store(job)
    }

    /** Stores what has arrived. Results that arrive meanwhile go together into the next chunk. */
    private fun store(job: HeldJob) {
        if (job.isStoring || job.toStore.isEmpty()) return
        job.isStoring = true
        scope.launch {
            try {
                if (job.running.isNotEmpty() && !isStopping) timer.pause(GATHER_MILLIS)
                while (job.toStore.isNotEmpty() && held[job.job.id] === job) storeChunk(job)
            } finally {
                job.isStoring = false
            }
        }
    }

    private suspend fun storeChunk(job: HeldJob) {
        val id = job.job.id
        val batch = job.toStore.toList()
        val chunk = job.log.nextChunk(batch)
        if (chunk.results.isEmpty()) {
            job.toStore.removeAll(batch.toSet())
            return
        }
        val number = job.log.nextChunkNumber
        parts.records.appendResults(id, number, chunk).fold(
            {
                job.log.add(number, chunk)
                job.toStore.removeAll(batch.toSet())
                job.wakeReaders()
                log.record("results_stored", "job" to id, "chunk" to number, "results" to chunk.results.size)
            },
            { error ->
                log.record("results_not_stored", "job" to id, "chunk" to number, "reason" to error)
                if (error is StoreError.AlreadyExists) lostRace(job) else timer.pause(RETRY_MILLIS)
            },
        )
    }

    /** Another node has stored results of this job: it was taken over, or an earlier copy of this write landed. */
    private suspend fun lostRace(job: HeldJob) {
        if (!catchUp(job)) timer.pause(RETRY_MILLIS)
        confirmHolder(job)
    }

    private suspend fun catchUp(job: HeldJob): Boolean {
        val isRead = parts.records.readResults(job.job.id, job.log).isOk
        job.wakeReaders()
        job.waiting.removeAll { job.log.contains(it.item.id) }
        job.running.filterKeys { job.log.contains(it.item.id) }.values.forEach { it.job?.cancel() }
        return isRead
    }

    private suspend fun confirmHolder(job: HeldJob) {
        val holder = parts.records.state(job.job.id).fold({ it.holder }, { null }) ?: return
        val self = JobHolder(parts.members.self.vm.value, parts.members.self.incarnation)
        if (holder != self && held[job.job.id] === job) drop(job.job.id, holder)
    }

    /** Lets go of a job that the store says another node runs. */
    private fun drop(id: String, holder: JobHolder) {
        val job = held.remove(id) ?: return
        job.isEnded = true
        job.running.values.forEach { it.job?.cancel() }
        job.wakeReaders()
        log.record("job_lost", "job" to id, "holder" to holder.vm, "stored" to job.log.size)
    }

    /** Whether something is still to be stored. */
    val hasUnstored: Boolean get() = held.values.any { it.toStore.isNotEmpty() || it.isStoring }

    private companion object {
        /** How long other nodes may not know yet that items were stopped. */
        const val SETTLE_NANOS = 600_000_000L

        /** Results that arrive within this time share one write. */
        const val GATHER_MILLIS = 600L

        const val RETRY_MILLIS = 300L

        /** Callers rely on a result at all nodes one second after they have seen it at one. */
        const val READ_AGAIN_NANOS = 400_000_000L

        /** Silence after which an item goes on elsewhere. */
        const val SILENCE_MILLIS = 2_000L

        /** Items go to servers with a spare slot; one whose answer does not begin in this time met a stuck server. */
        const val HEAD_LIMIT_MILLIS = 3_000L

        const val FULL_PAUSE_MILLIS = 200L
        const val MAX_ERROR_BYTES = 1024 * 1024
        const val UNPROCESSABLE = 422
        const val INTERNAL_ERROR = 500
    }
}
