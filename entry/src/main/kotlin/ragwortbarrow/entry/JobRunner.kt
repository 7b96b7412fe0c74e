package ragwortbarrow.entry

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.jobs.BatchJob
import ragwortbarrow.core.jobs.ItemProgress
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.JobRouteState
import ragwortbarrow.core.jobs.JobStore
import ragwortbarrow.core.jobs.ResultChunk
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.jobs.RunOutcome
import ragwortbarrow.core.jobs.encodedBytes
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.BatchPlacement
import ragwortbarrow.core.placement.ItemRunTimes
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.placement.Slack
import ragwortbarrow.core.placement.Urgency
import ragwortbarrow.core.quarantine.HeldItem
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.core.time.pause
import ragwortbarrow.core.traffic.Route
import ragwortbarrow.http.HttpFailure
import kotlin.random.Random

/**
 * Runs the batch jobs that this node holds: starts items in free slots, the most urgent first, stores results in the
 * order in which they arrive, and stops items when online requests need their slots.
 */
class JobRunner(
    private val components: Components,
    private val protocol: EntryProtocol,
    private val timer: TimerService,
    private val scope: CoroutineScope,
    private val metrics: EntryMetrics,
    private val log: DecisionLog,
    /** Memory for the outputs of all items that have no stored result, as JSON text in bytes. */
    private val maxOutputBytes: Long = Runtime.getRuntime().maxMemory() / OUTPUT_SHARE_OF_HEAP,
    /** The largest difference between the clocks of two nodes, or between a clock before and after it is set. */
    private val maxClockSkewMillis: Long = DEFAULT_MAX_CLOCK_SKEW_MILLIS,
) {
    class Components(
        val configuration: ConfigurationHolder,
        val members: FleetMembers,
        val tracker: ServerTracker,
        val placement: BatchPlacement,
        val backendCalls: BackendCalls,
        val jobStore: JobStore,
        val quarantine: PromptQuarantine,
        val cancelledJobs: CancelledJobs,
    )

    private val activeJobs = LinkedHashMap<String, ActiveJob>()

    /** True once this node shuts down; it accepts no more jobs. */
    var isStopping = false
        private set
    private var remainingStarts = 1
    private val nextPreemptionAtNanos = HashMap<BackendServerId, Long>()
    private val runTimes = ItemRunTimes()

    internal fun activeJob(id: String): ActiveJob? = activeJobs[id]

    val runningItems: Int get() = activeJobs.values.sumOf { it.running.size }
    val waitingItems: Int get() = activeJobs.values.sumOf { it.waiting.size }

    /** Starts or continues [job], unless it was cancelled meanwhile; [results] are those already stored. */
    fun startJob(job: BatchJob, results: ResultLog, isTakenOver: Boolean = false) {
        if (job.id in activeJobs || isStopping || job.id in components.cancelledJobs) return
        activeJobs[job.id] =
            ActiveJob(job, results, isTakenOver, timer.monotonicMillis(), protocol::sharedPromptParts)
        log.record("job_held", "job" to job.id, "items" to job.items.size, "stored" to results.size)
        startWaitingItems()
    }

    /** Whether this node runs a job that has items without a result and was not cancelled. */
    val hasUnfinishedJobs: Boolean get() = activeJobs.values.any { !it.isStopped && !it.log.isComplete }

    /** Unfinished jobs that this node took over. */
    fun takenOverJobs(): List<String> =
        activeJobs.values.filter { it.isTakenOver && !it.log.isComplete }.map { it.job.id }

    /** Handles another node's report that it took over [jobs]: the store decides who runs those that this node runs. */
    fun reconcileJobs(jobs: List<String>) {
        for (id in jobs) {
            val job = activeJobs[id] ?: continue
            job.needsReconciliation = true
            if (job.isReconciling) continue
            job.isReconciling = true
            scope.launch {
                while (job.needsReconciliation && activeJobs[id] === job) {
                    // A request that comes during the read below may follow a change that the read does not see.
                    job.needsReconciliation = false
                    if (!reconcile(job)) {
                        job.needsReconciliation = true
                        timer.pause(RETRY_MILLIS)
                    }
                }
                job.isReconciling = false
            }
        }
    }

    /** Reads the state of each unfinished job, which other nodes may have taken over or cancelled. */
    fun reconcileAllJobs() = reconcileJobs(activeJobs.values.filter { !it.log.isComplete }.map { it.job.id })

    /**
     * Makes sure that no result which the previous holder of [job] may have stored after the takeover is missing. A
     * caller that has read a result from another node must find it on this one too, also if others ask at the same
     * time. Once the previous holder can store no more results, this does nothing.
     */
    internal suspend fun rereadResults(job: ActiveJob) {
        val reread = job.reread ?: startReread(job)
        reread?.join()
    }

    private fun startReread(job: ActiveJob): Job? {
        val nowNanos = timer.nanoTime()
        val mayMiss = job.isTakenOver && !job.isSealed
        if (!mayMiss || nowNanos - job.rereadAtNanos < REREAD_INTERVAL_NANOS) return null
        job.rereadAtNanos = nowNanos
        return scope.launch { if (job.isStoring) reloadResults(job) else seal(job) }.also { reread ->
            job.reread = reread
            reread.invokeOnCompletion { job.reread = null }
        }
    }

    /**
     * Stores an empty chunk, unless there is a chunk that this node has not read. The previous holder's next write then
     * fails, and it learns that it has lost the job.
     */
    private suspend fun seal(job: ActiveJob) {
        job.isStoring = true
        try {
            repeat(MAX_SEAL_ATTEMPTS) {
                val number = job.log.nextChunkNumber
                val empty = ResultChunk(job.log.size, emptyList())
                val error = components.jobStore.appendResults(job.job.id, number, empty).fold({ null }, { it })
                if (error == null) {
                    job.log.add(number, empty)
                    job.isSealed = true
                    return
                }
                if (error !is StoreError.AlreadyExists) {
                    log.record("results_not_sealed", "job" to job.job.id, "chunk" to number, "reason" to error)
                    reloadResults(job)
                    return
                }
                reloadResults(job)
                if (!isHolderConfirmed(job)) return
            }
        } finally {
            job.isStoring = false
            storeResults(job)
        }
    }

    /** Stops a cancelled job; results that have already arrived are still stored. False if it does not run here. */
    fun cancelJob(id: String): Boolean {
        val job = activeJobs[id] ?: return false
        if (job.isStopped) return true
        job.isStopped = true
        job.waiting.clear()
        job.running.values.forEach { it.job?.cancel() }
        job.signalChange()
        log.record("job_ended", "job" to id, "stored" to job.log.size, "total" to job.job.items.size)
        return true
    }

    /** Stops items on [server] for a waiting online request; false if this node runs none there. */
    fun freeSlot(server: BackendServer): Boolean {
        if (components.tracker.localOccupancy(server.id).batch == 0) return false
        preemptItems(server, maxOf(1, components.placement.excessItems(server)))
        return true
    }

    /** Adapts the running items to the current load: stops excess ones, then starts items in free slots. */
    fun rebalance() {
        remainingStarts = components.placement.startQuota(components.members.size)
        updateHeldItems()
        if (activeJobs.isEmpty()) return
        preemptExcessItems()
        failOverdueItems()
        startWaitingItems()
    }

    /**
     * Stops items where online requests need more than the free slots. Other nodes know the new load only after some
     * time, so this node stops no more items on the same server until then.
     */
    private fun preemptExcessItems() {
        val nowNanos = timer.nanoTime()
        for (server in components.tracker.all()) {
            if (nowNanos < (nextPreemptionAtNanos[server.id] ?: Long.MIN_VALUE)) continue
            val excess = components.placement.excessItems(server)
            if (excess == 0) continue
            nextPreemptionAtNanos[server.id] = nowNanos + LOAD_PROPAGATION_NANOS
            preemptItems(server, excess)
        }
    }

    /** Stops items on overloaded servers, because another node has online requests that wait for slots there. */
    fun freeSlotsForPeers() {
        for (server in components.tracker.all()) {
            if (components.tracker.occupancy(server.id).total > server.slots) freeSlot(server)
        }
    }

    /** Stops all items and stores the results that have arrived; other nodes take the jobs over. */
    fun stop() {
        isStopping = true
        for (job in activeJobs.values) job.running.values.forEach { it.job?.cancel() }
    }

    /** Stops [count] items on [server]: the least urgent first, and of equally urgent ones the last started. */
    private fun preemptItems(server: BackendServer, count: Int) {
        val running = activeJobs.values.flatMap { job ->
            // A trial that ends before an event tells nothing, and the item beside it can be stopped instead.
            job.running.filterValues { it.server.id == server.id && it.testedParts.isEmpty() }
                .map { (item, run) -> run to urgency(job, item) }
        }
        val order = compareBy(Urgency.MOST_URGENT_FIRST) { item: Pair<RunningItem, Urgency> -> item.second }
            .thenBy { it.first.startedNanos }
        for ((item, _) in running.sortedWith(order.reversed()).take(count)) {
            item.job?.cancel()
            metrics.increment("batch_items_stopped")
        }
    }

    private class Candidate(
        val job: ActiveJob,
        val item: ItemProgress,
        val route: Route,
        val urgency: Urgency,
        val isTrial: Boolean,
    )

    private fun startWaitingItems() {
        // While the store is away, results wait in memory.
        if (isStopping || remainingStarts <= 0 || unstoredBytes() > maxOutputBytes) return
        val candidates = activeJobs.values.filter { !it.isStopped && it.waiting.isNotEmpty() }
            .flatMap { candidates(it) }
        // A service without a slot for one item has none for others with the same slack.
        val full = HashSet<Pair<String, Slack>>()
        for (candidate in candidates.sortedWith(compareBy(Urgency.MOST_URGENT_FIRST) { it.urgency })) {
            if (remainingStarts <= 0) return
            val service = candidate.route.service(Random.nextDouble())
            val slack = candidate.urgency.slack
            if (candidate.isTrial && !components.quarantine.isTrialDue(heldItem(candidate.item))) continue
            if (service to slack in full) continue
            val server = components.placement.place(service, slack)
            if (server == null || !components.tracker.tryAcquire(server.id)) {
                full += service to slack
                continue
            }
            candidate.job.waiting.remove(candidate.item)
            startItem(candidate.job, candidate.item, candidate.route, server)
            remainingStarts--
        }
    }

    private fun candidates(job: ActiveJob): List<Candidate> {
        val route = when (val state = job.route.state(components.configuration.table)) {
            is JobRouteState.Known -> state.route
            JobRouteState.Undetermined -> return emptyList()
            JobRouteState.Removed -> {
                failItems(job, "the job's route is not in version ${components.configuration.version}")
                return emptyList()
            }
        }
        return job.waiting.filter { isStartable(job, it) }
            .map { Candidate(job, it, route, urgency(job, it), isTrial = it in job.withheld) }
    }

    /** Whether an item need not wait because servers crash on a part of its prompt, or may do so. */
    private fun isStartable(job: ActiveJob, progress: ItemProgress): Boolean {
        if (timer.monotonicMillis() < progress.startableAtMillis) return false
        val part = components.quarantine.heldPart(progress.sharedPromptParts)
        if (part == null) {
            job.withheld -= progress
        } else if (job.withheld.add(progress)) {
            log.record("item_withheld", "job" to job.job.id, "item" to progress.item.id, "part" to part)
        }
        return part == null || components.quarantine.isTrialDue(heldItem(progress))
    }

    private fun heldItem(progress: ItemProgress) =
        HeldItem("${progress.item.id}/${components.members.self.vm}", progress.sharedPromptParts)

    /** Offers the items that wait for the end of a quarantine as trials, unless other groups of nodes may send some. */
    private fun updateHeldItems() {
        val isInMajority = (components.members.reachable().size + 1) * 2 > components.members.sizeWithExpired
        val held = if (isStopping || !isInMajority) {
            emptyList()
        } else {
            val nowMillis = timer.monotonicMillis()
            activeJobs.values.filter { !it.isStopped }.flatMap { job ->
                val waiting = job.waiting.filter { it in job.withheld && it.startableAtMillis <= nowMillis }
                (waiting + job.running.filterValues { it.testedParts.isNotEmpty() }.keys).map { heldItem(it) }
            }
        }
        components.quarantine.updateHeldItems(held)
    }

    private fun urgency(job: ActiveJob, item: ItemProgress): Urgency {
        val route = job.route.lastKnown
        val targetMillis = route?.completionTargetMillis?.takeIf { it > 0 } ?: route?.maxWaitMillis ?: 0
        return Urgency(
            dueInMillis = job.job.submittedWallMillis + targetMillis - timer.wallMillis(),
            runMillis = runTimes.fullRunMillis,
            remainingMillis = runTimes.remainingMillis(item.lastEventId ?: 0),
        )
    }

    /**
     * The least time since the submission of [job]. The clocks of the node that accepted it and of this one may differ,
     * and either may have been set meanwhile.
     */
    private fun minAgeMillis(job: ActiveJob): Long {
        val heldMillis = timer.monotonicMillis() - job.startedMillis
        if (!job.isTakenOver) return heldMillis
        val ageMillis = timer.wallMillis() - job.job.submittedWallMillis
        return maxOf(heldMillis, ageMillis - maxClockSkewMillis)
    }

    private fun startItem(job: ActiveJob, progress: ItemProgress, route: Route, server: BackendServer) {
        val testedParts = components.quarantine.startTrial(progress.sharedPromptParts)
        if (testedParts.isNotEmpty()) metrics.increment("quarantine_trials")
        val running = RunningItem(server, timer.nanoTime(), testedParts)
        job.running[progress] = running
        log.record(
            "item_started",
            "job" to job.job.id,
            "item" to progress.item.id,
            "server" to server.id,
            "load" to components.tracker.occupancy(server.id).total,
            "after_event" to progress.lastEventId,
            "remaining_ms" to runTimes.remainingMillis(progress.lastEventId ?: 0).toLong(),
        )
        if (progress.firstStartMillis == null) progress.firstStartMillis = timer.monotonicMillis()
        // Undispatched: the load counts at once for the placement of the next item, and an item that is cancelled in
        // the same turn still reaches `finally`.
        running.job = scope.launch(start = CoroutineStart.UNDISPATCHED) {
            var outcome: RunOutcome = RunOutcome.Interrupted("stopped")
            val eventIdBefore = progress.lastEventId
            try {
                outcome = runItem(job, progress, route, server)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: HttpFailure.Disconnected) {
                if (progress.lastEventId == eventIdBefore) {
                    progress.startableAtMillis = timer.monotonicMillis() + FAULTY_SERVER_PAUSE_MILLIS
                }
                outcome = RunOutcome.Interrupted(failure.message.orEmpty())
            } catch (failure: HttpFailure.ConnectFailed) {
                outcome = RunOutcome.Interrupted(failure.message.orEmpty(), wasSent = false)
            } catch (failure: HttpFailure) {
                outcome = RunOutcome.Interrupted(failure.message.orEmpty())
            } finally {
                finishItem(job, progress, outcome, route.maxAttempts)
            }
        }
    }

    private suspend fun runItem(
        activeJob: ActiveJob,
        progress: ItemProgress,
        route: Route,
        server: BackendServer,
    ): RunOutcome {
        val job = activeJob.job
        val remainingMillis = route.maxWaitMillis - minAgeMillis(activeJob)
        val head = BackendRequestHead(server.id, remainingMillis.coerceAtLeast(1), job.customer, progress.lastEventId)
        val startedNanos = timer.nanoTime()
        val lastEventIdBefore = progress.lastEventId ?: 0
        val request = try {
            protocol.itemRequest(progress.item, job.host, head)
        } catch (invalid: IllegalArgumentException) {
            log.record("item_invalid", "job" to job.id, "item" to progress.item.id, "reason" to invalid.message)
            return RunOutcome.Impossible
        }
        val call = components.backendCalls.open(
            server,
            request,
            progress.item.id,
            isBatch = true,
            requiresFreshConnection = false,
            timeouts = ResponseHeadTimeouts(timeoutMillis = RESPONSE_HEAD_TIMEOUT_MILLIS),
            sharedPromptParts = progress.sharedPromptParts,
        )
        return call.read { response ->
            val status = response.head.status
            when {
                response.head.isNotRun -> {
                    skipBody(response)
                    components.tracker.block(server.id, FULL_SERVER_PAUSE_MILLIS)
                    RunOutcome.Interrupted("server answered $status, not run")
                }
                response.head.isStream -> {
                    val startupMillis = millisSince(startedNanos)
                    try {
                        readUntilDeadline(response, progress, head).also { recordCompletion(progress, server) }
                    } finally {
                        val events = (progress.lastEventId ?: 0) - lastEventIdBefore
                        runTimes.recordRun(startupMillis, millisSince(startedNanos) - startupMillis, events)
                    }
                }
                status in 200..299 -> throw HttpFailure.Broken("the answer bears no stamp or is no stream of events")
                else -> {
                    skipBody(response)
                    when (status) {
                        UNPROCESSABLE -> RunOutcome.Impossible
                        INTERNAL_ERROR -> RunOutcome.Failed
                        else -> RunOutcome.Interrupted("server answered $status")
                    }
                }
            }
        }
    }

    private fun recordCompletion(progress: ItemProgress, server: BackendServer) {
        components.tracker.recordSuccess(server.id)
        val startMillis = progress.firstStartMillis ?: return
        val elapsedMillis = timer.monotonicMillis() - startMillis
        runTimes.recordCompletion(elapsedMillis.toDouble(), progress.lastEventId ?: 0)
    }

    private fun millisSince(nanos: Long) = (timer.nanoTime() - nanos) / NANOS_PER_MILLI.toDouble()

    /** Reads the body of an error to its end, so that the connection can be reused. */
    private suspend fun skipBody(response: StreamingResponse) {
        withTimeoutOrNull(IDLE_LIMIT_MILLIS) { response.body.rest(MAX_ERROR_BYTES) }
            ?: throw HttpFailure.Broken("the body of an error lasts longer than $IDLE_LIMIT_MILLIS ms")
    }

    /** Reads the stream of a run; its server was told the deadline and is faulty if it goes on past it. */
    private suspend fun readUntilDeadline(
        response: StreamingResponse,
        progress: ItemProgress,
        head: BackendRequestHead,
    ): RunOutcome {
        val limitMillis = checkNotNull(head.deadlineMillis) + IDLE_LIMIT_MILLIS
        return withTimeoutOrNull(limitMillis) { readStream(response, progress) }
            ?: throw HttpFailure.Broken("the run has not ended within $limitMillis ms")
    }

    private suspend fun readStream(response: StreamingResponse, progress: ItemProgress): RunOutcome {
        val splitter = EventSplitter()
        val lastEventIdBefore = progress.lastEventId
        var lastEventNanos = timer.nanoTime()
        while (true) {
            // Measured from the last event: a server that is stuck may still send bytes.
            val idleMillis = (timer.nanoTime() - lastEventNanos) / NANOS_PER_MILLI
            withTimeoutOrNull(IDLE_LIMIT_MILLIS - idleMillis) { response.body.awaitNext() }
                ?: throw HttpFailure.Broken("no event for $IDLE_LIMIT_MILLIS ms")
            val bytes = response.body.next() ?: break
            for (event in splitter.add(bytes)) {
                val id = event.id ?: continue
                response.recordAnswer()
                val lastId = progress.lastEventId
                if (!progress.appendEvent(id, event.data)) throw HttpFailure.Broken("events before $id are missing")
                if (progress.lastEventId != lastId) lastEventNanos = timer.nanoTime()
                limitOutput(progress)
            }
        }
        if (splitter.hasPartialEvent) throw HttpFailure.Broken("the stream ended within an event")
        if (progress.lastEventId == lastEventIdBefore) {
            // It does not show that the run before had sent its last event, and only a whole run will.
            progress.startOver()
            throw HttpFailure.Broken("the stream has no event")
        }
        return RunOutcome.Completed
    }

    /**
     * Discards the output of [progress] if it does not fit into a chunk of results, and the largest output if all
     * together take too much memory. A server that sends events without end would fill the memory otherwise.
     */
    private fun limitOutput(progress: ItemProgress) {
        if (progress.outputBytes <= LARGE_OUTPUT_BYTES) return
        val limitBytes = components.jobStore.maxChunkBytes
        if (progress.outputBytes > limitBytes) {
            discardOutput(progress)
            throw HttpFailure.Broken("the output exceeds $limitBytes bytes")
        }
        if (unstoredBytes() + unfinishedBytes() <= maxOutputBytes) return
        val largest = activeJobs.values.flatMap { it.running.keys + it.waiting }.maxBy { it.outputBytes }
        discardOutput(largest)
        if (largest === progress) throw HttpFailure.Broken("the outputs of all items exceed $maxOutputBytes bytes")
        for (job in activeJobs.values) job.running[largest]?.job?.cancel()
    }

    private fun discardOutput(progress: ItemProgress) {
        log.record("output_discarded", "item" to progress.item.id, "bytes" to progress.outputBytes)
        metrics.increment("batch_outputs_discarded")
        progress.startOver()
        progress.startableAtMillis = timer.monotonicMillis() + FAULTY_SERVER_PAUSE_MILLIS
    }

    private fun unstoredBytes(): Long =
        activeJobs.values.sumOf { job -> job.unstoredResults.sumOf { it.output.length.toLong() } }

    private fun unfinishedBytes(): Long = activeJobs.values.sumOf { job ->
        job.running.keys.sumOf { it.outputBytes.toLong() } + job.waiting.sumOf { it.outputBytes.toLong() }
    }

    private fun finishItem(job: ActiveJob, progress: ItemProgress, outcome: RunOutcome, maxAttempts: Int) {
        val running = job.running.remove(progress)
        progress.applyOutcome(outcome, maxAttempts)
        if (running != null && outcome is RunOutcome.Interrupted && !outcome.wasSent) {
            components.quarantine.returnTrial(running.testedParts)
        }
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
                job.unstoredResults += result
                storeResults(job)
            }
            !job.isStopped && !isStopping -> job.waiting.addFirst(progress)
        }
        scope.launch { startWaitingItems() }
    }

    /** Fails the waiting items of jobs that exceed the maximum wait of their route. */
    private fun failOverdueItems() {
        for (job in activeJobs.values) {
            if (job.isStopped || job.waiting.isEmpty()) continue
            val state = job.route.state(components.configuration.table) as? JobRouteState.Known ?: continue
            val maxWaitMillis = state.route.maxWaitMillis
            if (maxWaitMillis > 0 && minAgeMillis(job) > maxWaitMillis) {
                failItems(job, "the job exceeds the maximum wait of $maxWaitMillis ms")
            }
        }
    }

    private fun failItems(job: ActiveJob, reason: String) {
        log.record("items_given_up", "job" to job.job.id, "items" to job.waiting.size, "reason" to reason)
        while (true) {
            val progress = job.waiting.removeFirstOrNull() ?: break
            progress.fail()
            progress.result?.let { job.unstoredResults += it }
        }
        storeResults(job)
    }

    /** Stores the results that have arrived. Those that arrive during a write share the next chunk. */
    private fun storeResults(job: ActiveJob) {
        if (job.isStoring || job.unstoredResults.isEmpty()) return
        job.isStoring = true
        scope.launch {
            try {
                if (job.running.isNotEmpty() && !isStopping) timer.pause(WRITE_BATCHING_MILLIS)
                while (job.unstoredResults.isNotEmpty() && activeJobs[job.job.id] === job) storeChunk(job)
            } finally {
                job.isStoring = false
            }
        }
    }

    private suspend fun storeChunk(job: ActiveJob) {
        val id = job.job.id
        while (activeJobs[id] === job && !isHolderConfirmed(job)) timer.pause(RETRY_MILLIS)
        if (activeJobs[id] !== job) return
        val chunk = job.log.nextChunk(job.unstoredResults, minOf(components.jobStore.maxChunkBytes, job.maxChunkBytes))
        if (chunk.results.isEmpty()) {
            removeStoredResults(job)
            return
        }
        val number = job.log.nextChunkNumber
        components.jobStore.appendResults(id, number, chunk).fold(
            {
                job.log.add(number, chunk)
                job.isSealed = true
                removeStoredResults(job)
                job.signalChange()
                log.record("results_stored", "job" to id, "chunk" to number, "results" to chunk.results.size)
            },
            { error ->
                log.record("results_not_stored", "job" to id, "chunk" to number, "reason" to error)
                if (error is StoreError.Rejected) handleRejection(job, chunk)
                if (error is StoreError.AlreadyExists) resolveConflict(job) else timer.pause(RETRY_MILLIS)
            },
        )
    }

    private fun removeStoredResults(job: ActiveJob) = job.unstoredResults.removeAll { job.log.contains(it.id) }

    /** Makes the next chunk smaller, or gives up the output of an item whose result alone is rejected repeatedly. */
    private fun handleRejection(job: ActiveJob, chunk: ResultChunk) {
        val result = chunk.results.singleOrNull()
        if (result == null) {
            job.maxChunkBytes = chunk.encodedBytes / 2
            return
        }
        job.rejectedResults++
        if (!result.isCompleted || job.rejectedResults < MAX_RESULT_REJECTIONS) return
        job.rejectedResults = 0
        val failed = ItemResult(result.id, isCompleted = false)
        job.unstoredResults.replaceAll { if (it.id == result.id) failed else it }
        log.record("result_given_up", "job" to job.job.id, "item" to result.id, "bytes" to chunk.encodedBytes)
    }

    /** Handles a number that is in use: another node took the job over, or an earlier try of this write took effect. */
    private suspend fun resolveConflict(job: ActiveJob) {
        job.mayHaveNewHolder = true
        if (!reloadResults(job)) timer.pause(RETRY_MILLIS)
    }

    /**
     * Whether this node still holds [job] although another one has stored a chunk: it reads the state of the job then.
     * A node that stored more results of a job that it has lost would hide them from callers of the new holder.
     */
    private suspend fun isHolderConfirmed(job: ActiveJob): Boolean {
        if (!job.mayHaveNewHolder) return true
        job.mayHaveNewHolder = false
        if (!reconcile(job)) job.mayHaveNewHolder = true
        return !job.mayHaveNewHolder && activeJobs[job.job.id] === job
    }

    private suspend fun reloadResults(job: ActiveJob): Boolean {
        val chunksBefore = job.log.nextChunkNumber
        val isRead = components.jobStore.readResults(job.job.id, job.log).isOk
        if (job.log.nextChunkNumber > chunksBefore) job.mayHaveNewHolder = true
        job.signalChange()
        job.waiting.removeAll { job.log.contains(it.item.id) }
        job.running.filterKeys { job.log.contains(it.item.id) }.values.forEach { it.job?.cancel() }
        return isRead
    }

    /** Stops [job] if its stored state says that it was cancelled or is held by another node; false if unreadable. */
    private suspend fun reconcile(job: ActiveJob): Boolean {
        val id = job.job.id
        val state = components.jobStore.state(id).getOrElse {
            log.record("job_state_not_read", "job" to id, "reason" to it)
            return false
        }
        val holder = state.holder ?: job.job.holder
        val self = JobHolder(components.members.self.vm.value, components.members.self.incarnation)
        when {
            activeJobs[id] !== job -> Unit
            holder != self -> release(id, holder)
            state.isCancelled -> cancelJob(id)
        }
        return true
    }

    /** Stops running a job whose holder is another node according to the store. */
    private fun release(id: String, holder: JobHolder) {
        val job = activeJobs.remove(id) ?: return
        job.isStopped = true
        job.running.values.forEach { it.job?.cancel() }
        job.signalChange()
        log.record("job_lost", "job" to id, "holder" to holder.vm, "stored" to job.log.size)
    }

    /** Whether results are still to be stored. */
    val hasUnstoredResults: Boolean get() = activeJobs.values.any { it.unstoredResults.isNotEmpty() || it.isStoring }

    private companion object {
        /** The rest of the heap is for the requests of callers, for jobs and for their results. */
        const val OUTPUT_SHARE_OF_HEAP = 8

        /** Far above usual outputs, so that the sum over all items is rarely needed. */
        const val LARGE_OUTPUT_BYTES = 128 * 1024

        /** Time until all nodes know that items were stopped. */
        const val LOAD_PROPAGATION_NANOS = 600_000_000L

        /** Results that arrive within this time share one write. */
        const val WRITE_BATCHING_MILLIS = 600L

        const val RETRY_MILLIS = 300L

        /** Times that a single result is rejected before its output is given up; its readers would wait forever. */
        const val MAX_RESULT_REJECTIONS = 3

        /**
         * Pause of an item whose server closed the connection, so that it does not crash many servers at once, or sent
         * more than an output may have.
         */
        const val FAULTY_SERVER_PAUSE_MILLIS = 1_000L

        /** A previous holder that is still running stores results of one chunk, or of a few, in the meantime. */
        const val MAX_SEAL_ATTEMPTS = 3

        /** Below one second: a result that a caller has read from one node must be on all nodes a second later. */
        const val REREAD_INTERVAL_NANOS = 400_000_000L

        /** Idle time of a stream after which its item continues on another server. */
        const val IDLE_LIMIT_MILLIS = 2_000L

        /** Items start only in free slots, so a server whose response has not begun after this time is stuck. */
        const val RESPONSE_HEAD_TIMEOUT_MILLIS = 3_000L

        const val FULL_SERVER_PAUSE_MILLIS = 200L
        const val MAX_ERROR_BYTES = 1024 * 1024
        const val UNPROCESSABLE = 422
        const val INTERNAL_ERROR = 500
    }
}
