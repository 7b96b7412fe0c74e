package ragwortbarrow.core.batch

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendClient
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.HttpHeader
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.core.time.pause

/**
 * Runs batch items on the backend servers that this node dispatches to.
 *
 * All state is confined to [scope], which runs its coroutines one at a time. [scheduleWork] starts items, commits
 * chunks and claims new ones where possible; every handler of an event that may allow more work calls it last.
 */
internal class BatchWorker(
    private val members: MemberView,
    private val timer: TimerService,
    private val reader: BatchReader,
    private val chunkStore: ChunkStore,
    private val leaseMonitor: VmLeaseMonitor,
    private val jobTracker: JobTracker,
    private val spareSlots: SpareSlots,
    private val client: BackendClient,
    private val configuration: ConfigurationView,
    private val decisions: DecisionLog,
    private val scope: CoroutineScope,
    private val settings: BatchSettings,
    /** Whether this node currently holds its own lease. */
    private val isLeaseHeld: () -> Boolean,
    /** Called after this node committed the last open chunk of a job. */
    private val onAllChunksFinished: (TrackedJob) -> Unit,
) {
    private val dispatcherSelector = DispatcherSelector(members)
    private val servers = LinkedHashMap<BackendServerId, ServerState>()
    private val executions = LinkedHashMap<String, ChunkExecution>()
    private val claimsInProgress = HashMap<BatchTarget, String>()
    private val lostChunks = HashMap<String, MutableSet<Int>>()
    private val recentUsage = HashMap<CustomerId, DecayingCounter>()
    private val finishedItemRate = DecayingCounter()
    private val subscriptions = ArrayList<TimerSubscription>()
    private var isCheckingLeases = false
    private var stopping = false

    private val self = members.self
    private val nowMillis: Long get() = timer.monotonicMillis()

    /** Number of chunks that this node holds. */
    val heldChunkCount: Int get() = executions.size

    /** Number of items that this node runs. */
    val runningItemCount: Int get() = servers.values.sumOf { it.running.size }

    fun start() {
        subscriptions += timer.every(settings.tickMillis) { scope.launch { tick() } }
        subscriptions += timer.every(settings.leasePollMillis) { scope.launch { findLostChunks() } }
        subscriptions += timer.every(settings.loadPollMillis) { scope.launch { pollLoads() } }
    }

    /**
     * Cancels running items, commits finished results and releases the chunks. Gives up after
     * [BatchSettings.stopTimeoutMillis], for example if the platform is unavailable.
     */
    suspend fun stop() {
        stopping = true
        subscriptions.forEach { it.cancel() }
        subscriptions.clear()
        val deadlineMillis = nowMillis + settings.stopTimeoutMillis
        executions.values.flatMap { it.running.values.toList() }
            .filter { it.chunk.repeatable }
            .forEach(::cancelAndRequeue)
        while (nowMillis < deadlineMillis && (executions.isNotEmpty() || claimsInProgress.isNotEmpty())) {
            if (nowMillis >= deadlineMillis - settings.stopTimeoutMillis / 2) failNonRepeatableItems()
            executions.values.filter { it.running.isEmpty() && !it.committing }.forEach { commit(it, release = true) }
            timer.pause(STOP_POLL_MILLIS)
        }
    }

    /** Applies a node's report and immediately preempts batch items whose slots are needed by online requests. */
    fun acceptOnlineLoad(report: OnlineLoadReport) {
        spareSlots.accept(report).forEach { preemptExcess(it) }
        scheduleWork()
    }

    /** Handles a change of a job or of its chunks. */
    fun onJobChange(job: TrackedJob) {
        for (chunk in executions.values.filter { it.job.id == job.id }) {
            val summary = job.chunk(chunk.claimed.record.index)
            val isSuperseded = summary != null &&
                summary.version > chunk.claimed.stored.version &&
                !chunk.committing &&
                (summary.holder != self.vm || summary.holderIncarnation != self.incarnation)
            when {
                isSuperseded -> abandon(chunk, "taken over or closed by another writer")
                job.record.state == JobState.CANCELLING -> closeExecution(chunk)
                job.record.state == JobState.CANCELLED -> abandon(chunk, "the job was cancelled")
                else -> Unit
            }
        }
        if (job.record.state != JobState.IN_PROGRESS) lostChunks.remove(job.id)
        scheduleWork()
    }

    private fun tick() {
        spareSlots.expire()
        refreshServers()
        servers.keys.toList().forEach { preemptExcess(it) }
        scheduleWork()
    }

    private fun scheduleWork() {
        if (stopping) return
        startIsolatedItems()
        startItems()
        executions.values.toList().forEach(::commitIfDue)
        claimChunks()
    }

    // Backend servers.

    private fun refreshServers() {
        val snapshot = configuration.current ?: return
        val dispatchedHere = snapshot.manifest.backendServers
            .filter { it.failureDomain == self.failureDomain && dispatcherSelector.dispatcherFor(it)?.vm == self.vm }
            .associateBy { it.id }
        dispatchedHere.values.forEach { server ->
            val state = servers.getOrPut(server.id) { ServerState(server, settings) }
            state.server = server
            state.isDispatchedHere = true
        }
        servers.values.filter { it.server.id !in dispatchedHere }.forEach {
            it.isDispatchedHere = false
            it.reservedFor = null
        }
        servers.values.removeIf { !it.isDispatchedHere && it.running.isEmpty() }
    }

    private suspend fun pollLoads() {
        servers.values
            .filter { it.isDispatchedHere && (it.running.isNotEmpty() || jobTracker.jobs.isNotEmpty()) }
            .forEach { state ->
                scope.launch {
                    client.fetchLoadReport(state.server).onSuccess {
                        spareSlots.accept(state.server.id, it)
                        // Preempt half of the excess: two dispatchers that see each other's items as unreported load
                        // would otherwise both give way completely.
                        val excess = state.running.size - spareSlots.maxItems(state.server)
                        preemptNewest(state, (excess + 1) / 2)
                    }
                }
            }
    }

    private fun freeSlots(state: ServerState): Int = when {
        state.reservedFor != null || !state.isAvailable(nowMillis) -> 0
        else -> spareSlots.maxItems(state.server) - state.running.size
    }

    private fun serversOf(target: BatchTarget): List<ServerState> {
        val snapshot = configuration.current ?: return emptyList()
        return target.servers(snapshot).mapNotNull { servers[it.id] }.filter { it.isDispatchedHere }
    }

    /** Preempts batch items on a server that runs more of them than its reported online requests permit. */
    private fun preemptExcess(serverId: BackendServerId) {
        val state = servers[serverId] ?: return
        preemptNewest(state, state.running.size - spareSlots.maxItemsBesideReportedLoad(state.server))
    }

    private fun preemptNewest(state: ServerState, count: Int) {
        if (count <= 0) return
        val newest = state.running.filter { it.chunk.repeatable }.takeLast(count)
        newest.asReversed().forEach(::cancelAndRequeue)
        decisions.record(
            "batch_yield",
            "server" to state.server.id,
            "online" to spareSlots.onlineInFlight(state.server.id),
            "cancelled" to newest.size,
            "left" to state.running.size,
        )
    }

    /** Cancels a running item and puts it back at the front of its queue; the attempt is not counted. */
    private fun cancelAndRequeue(item: RunningItem) {
        item.job.cancel()
        scope.launch { client.cancel(item.server.server, item.requestId) }
        removeRunning(item)
        requeue(item)
    }

    private fun requeue(item: RunningItem) {
        if (item.isIsolated) item.chunk.isolated.addFirst(item.index) else item.chunk.pending.addFirst(item.index)
        if (item.chunk.requiresStartRecord) item.chunk.startRecorded += item.index
    }

    private fun removeRunning(item: RunningItem) {
        item.chunk.running.remove(item.index, item)
        item.server.running.remove(item)
        if (item.isIsolated) item.server.reservedFor = null
        spareSlots.setBatchInFlight(item.server.server.id, item.server.running.size)
    }

    // Items.

    private fun startItems() {
        for (state in servers.values.sortedByDescending(::freeSlots)) {
            var free = freeSlots(state)
            while (free > 0) {
                val chunk = nextChunkFor(state.server) ?: break
                val index = chunk.nextStartableItem() ?: break
                if (!chunk.repeatable && !isLeaseHeld()) break
                chunk.pending.remove(index)
                startItem(chunk, index, state, isIsolated = false)
                free--
            }
        }
    }

    private fun nextChunkFor(server: BackendServer): ChunkExecution? {
        val snapshot = configuration.current ?: return null
        val eligible = executions.values.filter { chunk ->
            chunk.nextStartableItem() != null && chunk.target.servers(snapshot).any { it.id == server.id }
        }
        if (eligible.size <= 1) return eligible.firstOrNull()
        val selection = JobSelector.choose(eligible.map { it.job }.distinct().map(::toCandidate), timer.wallMillis())
            ?: return null
        return eligible.firstOrNull { it.job.id == selection.candidate.jobId }
    }

    /**
     * Starts last attempts of items. Each runs on a server that this node reserves for it, so that nothing else runs
     * there as far as this node can ensure it.
     */
    private fun startIsolatedItems() {
        for (chunk in executions.values.toList()) {
            val index = chunk.isolated.firstOrNull() ?: continue
            if (chunk.closing) continue
            val available = serversOf(chunk.target).filter { it.isAvailable(nowMillis) }
            val reserved = available.firstOrNull { it.reservedFor?.first === chunk }
                ?: available.filter { it.reservedFor == null }.minByOrNull { it.running.size }
                    ?.also {
                        it.reservedFor = chunk to index
                        chunk.reservedSinceMillis = nowMillis
                    }
                ?: continue
            val hasWaitedLongEnough = nowMillis - chunk.reservedSinceMillis >= settings.isolationWaitMillis
            val isFree = reserved.running.isEmpty() && spareSlots.maxItems(reserved.server) > 0
            if (isFree && (hasWaitedLongEnough || spareSlots.onlineInFlight(reserved.server.id) == 0)) {
                chunk.isolated.removeFirst()
                startItem(chunk, index, reserved, isIsolated = true)
            }
        }
    }

    private fun startItem(chunk: ChunkExecution, index: Int, state: ServerState, isIsolated: Boolean) {
        val line = chunk.line(index)
        val item = RunningItem(chunk, index, state, chunk.nextRequestId(index), isIsolated)
        chunk.startRecorded -= index
        chunk.running[index] = item
        state.running += item
        spareSlots.setBatchInFlight(state.server.id, state.running.size)
        recentUsage.getOrPut(chunk.job.record.customer) { DecayingCounter() }.add(cost(line), nowMillis)
        decisions.record(
            "batch_item",
            "request_id" to item.requestId,
            "chosen" to state.server.id,
            "running" to state.running.size,
            "allowed" to spareSlots.maxItems(state.server),
            "reason" to if (isIsolated) "last_attempt_alone" else "spare_slot",
        )
        val request = BackendRequest(
            requestId = item.requestId,
            method = line.method,
            pathAndQuery = line.url,
            headers = listOf(HttpHeader("Content-Type", "application/json")),
            body = JsonObject(line.body - "stream").toString().encodeToByteArray(),
            timeoutMillis = settings.itemTimeoutMillis,
        )
        item.job = scope.launch { onAttemptEnded(item, line, client.send(state.server, request)) }
    }

    private fun cost(line: BatchLine): Double = when (settings.shareUnit) {
        ShareUnit.ITEMS -> 1.0
        ShareUnit.TOKENS -> (line.maxTokens ?: defaultTokens(line)).toDouble()
    }

    private fun defaultTokens(line: BatchLine): Int =
        configuration.current?.manifest?.models?.firstOrNull { it.id == line.model }?.maxTokens ?: 1

    private fun onAttemptEnded(item: RunningItem, line: BatchLine, outcome: AttemptOutcome) {
        val chunk = item.chunk
        if (chunk.running[item.index] !== item) return
        removeRunning(item)
        val mapper = ItemOutcomeMapper(line.customId, item.requestId.value)
        when (val itemOutcome = mapper.map(outcome, chunk.repeatable)) {
            is ItemOutcome.Finished -> {
                if (outcome is AttemptOutcome.Answered) {
                    item.server.recordSuccess()
                } else {
                    item.server.recordFailure(nowMillis)
                }
                chunk.recordResult(item.index, itemOutcome.result)
                finishedItemRate.add(1.0, nowMillis)
            }
            is ItemOutcome.NotRun -> {
                item.server.recordFailure(nowMillis)
                requeue(item)
            }
            is ItemOutcome.FailedAttempt -> {
                if (outcome !is AttemptOutcome.Answered) item.server.recordFailure(nowMillis)
                chunk.recordFailedAttempt(item.index, itemOutcome.reason)
                decisions.record("batch_attempt", "request_id" to item.requestId, "reason" to itemOutcome.reason)
            }
        }
        scheduleWork()
    }

    // Commits.

    private fun commitIfDue(chunk: ChunkExecution) {
        if (chunk.committing || chunk.closing) return
        val ageMillis = nowMillis - chunk.lastCommitMillis
        val isIdle = chunk.pending.isEmpty() && chunk.running.isEmpty()
        val starting = chunk.itemsNeedingStartRecord()
        val attemptRecordsDue = chunk.awaitingAttemptRecord.isNotEmpty() &&
            (isIdle || ageMillis >= settings.partialCommitMaxMillis / 3)
        val enoughResults = chunk.uncommitted.size >= settings.partialCommitItems &&
            ageMillis >= settings.partialCommitMinMillis
        val isOverdue = chunk.uncommitted.isNotEmpty() && ageMillis >= settings.partialCommitMaxMillis
        val partialDue = (enoughResults || isOverdue) && chunk.partialCommits < settings.partialCommitsPerChunk
        val hasNoServer = chunk.running.isEmpty() && serversOf(chunk.target).isEmpty()
        when {
            !chunk.hasWork -> commit(chunk)
            hasNoServer -> commit(chunk, release = true)
            starting.isNotEmpty() || attemptRecordsDue -> commit(chunk, starting)
            partialDue -> {
                chunk.partialCommits++
                commit(chunk)
            }
        }
    }

    private fun commit(
        chunk: ChunkExecution,
        starting: List<Int> = emptyList(),
        release: Boolean = false,
        close: Boolean = false,
    ) {
        chunk.committing = true
        if (release || close) chunk.closing = true
        val results = chunk.uncommitted.keys.toSet()
        val recordedAttempts = chunk.awaitingAttemptRecord.toSet()
        val next = chunk.nextRecord(starting, release, close)
        scope.launch {
            when (val outcome = chunkStore.commit(chunk.claimed, next)) {
                is CommitOutcome.Committed -> {
                    chunk.committing = false
                    onCommitted(chunk, outcome.chunk, results, recordedAttempts, starting)
                }
                CommitOutcome.Rejected -> abandon(chunk, "the commit was rejected")
            }
            scheduleWork()
        }
    }

    private fun onCommitted(
        chunk: ChunkExecution,
        written: StoredChunk,
        results: Set<Int>,
        recordedAttempts: Set<Int>,
        starting: List<Int>,
    ) {
        chunk.applyCommit(written, results, recordedAttempts, starting, nowMillis)
        val record = written.record
        if (record.state != ChunkState.OPEN || record.holder == null) executions.remove(chunk.name, chunk)
        decisions.record(
            "batch_commit",
            "chunk" to chunk.name,
            "fencing" to record.fencingNumber,
            "state" to record.state.name.lowercase(),
            "results" to results.size,
            "finished" to record.finishedItems,
            "items" to record.itemCount,
        )
        jobTracker.apply(written.stored)
        if (chunk.job.record.state == JobState.CANCELLING) closeExecution(chunk)
        if (chunk.job.allChunksFinished) onAllChunksFinished(chunk.job)
    }

    /** Cancels the items of a chunk whose job is cancelled and commits the finished results. */
    private fun closeExecution(chunk: ChunkExecution) {
        if (executions[chunk.name] !== chunk) return
        chunk.running.values.toList().forEach(::cancelAndRequeue)
        chunk.pending.clear()
        chunk.isolated.clear()
        if (!chunk.committing) commit(chunk, close = true)
    }

    /** Drops a chunk that another node took over or closed; no further result of it is written. */
    private fun abandon(chunk: ChunkExecution, reason: String) {
        executions.remove(chunk.name, chunk)
        chunk.closing = true
        chunk.running.values.toList().forEach(::cancelAndRequeue)
        chunk.pending.clear()
        chunk.isolated.clear()
        servers.values.filter { it.reservedFor?.first === chunk }.forEach { it.reservedFor = null }
        decisions.record("batch_abandon", "chunk" to chunk.name, "reason" to reason)
    }

    private fun failNonRepeatableItems() {
        executions.values.flatMap { it.running.values.toList() }.filter { !it.chunk.repeatable }.forEach { item ->
            item.job.cancel()
            removeRunning(item)
            val message = "the node stopped before the backend server responded"
            item.chunk.recordResult(item.index, item.chunk.failureResult(item.index, ResultCode.ITEM_UNKNOWN, message))
        }
    }

    // Claims.

    private fun claimChunks() {
        val snapshot = configuration.current ?: return
        val claimable = jobTracker.jobs.filter(::hasClaimableChunks)
            .groupBy { BatchTarget.of(it.record, snapshot) }
        for ((target, jobs) in claimable) {
            if (target == null || target in claimsInProgress || !needsItems(target)) continue
            val selection = JobSelector.choose(jobs.map(::toCandidate), timer.wallMillis(), decisions)
            val job = selection?.let { jobTracker.job(it.candidate.jobId) }
            if (job != null) launchClaim(job, target)
        }
    }

    private fun hasClaimableChunks(job: TrackedJob): Boolean =
        job.record.state == JobState.IN_PROGRESS && (job.hasUnclaimedChunks || !lostChunks[job.id].isNullOrEmpty())

    /** Whether the queued items of the claimed chunks are too few to fill the spare slots once. */
    private fun needsItems(target: BatchTarget): Boolean {
        val available = serversOf(target).filter { it.isAvailable(nowMillis) }
        val spare = available.sumOf { spareSlots.maxItems(it.server) }
        val queuedItems = executions.values.filter { it.target == target }
            .sumOf { it.pending.size + it.isolated.size }
        return queuedItems < spare
    }

    private fun launchClaim(job: TrackedJob, target: BatchTarget) {
        val heldIndexes = executions.values.filter { it.job.id == job.id }.mapTo(HashSet()) { it.claimed.record.index }
        val lost = lostChunks[job.id]?.firstOrNull { it !in heldIndexes }
        val index = lost ?: job.nextUnclaimedChunk(self.vm.value.hashCode(), heldIndexes) ?: return
        claimsInProgress[target] = BatchNames.chunkName(job.id, index)
        scope.launch {
            try {
                claim(job, target, index)
            } finally {
                claimsInProgress.remove(target)
                lostChunks[job.id]?.remove(index)
            }
            scheduleWork()
        }
    }

    private suspend fun claim(job: TrackedJob, target: BatchTarget, index: Int) {
        val itemCount = job.record.chunkItemCounts[index]
        val isNew = job.chunk(index) == null
        val started = if (isNew && !target.repeatable) {
            (0 until minOf(itemCount, settings.itemsPerStartRecord)).toList()
        } else {
            emptyList()
        }
        val outcome = if (isNew) {
            chunkStore.claimNew(job.id, index, itemCount, started)
        } else {
            chunkStore.takeOver(job.id, index, ::canTakeOver)
        }
        decisions.record(
            "batch_claim",
            "chunk" to BatchNames.chunkName(job.id, index),
            "new" to isNew,
            "outcome" to outcome::class.simpleName,
        )
        when (outcome) {
            is ClaimOutcome.Claimed -> startExecution(job, target, outcome.chunk, started.toSet())
            ClaimOutcome.Refused -> refreshChunk(job, index)
            is ClaimOutcome.Unavailable -> timer.pause(settings.maxServerBackoffMillis / 10)
        }
    }

    /** Reads a chunk that could not be claimed, so that it is not tried again until the watch reports a change. */
    private suspend fun refreshChunk(job: TrackedJob, index: Int) {
        val stored = reader.chunk(job.id, index).getOrElse { return }
        jobTracker.apply(stored)
    }

    private suspend fun startExecution(job: TrackedJob, target: BatchTarget, claimed: StoredChunk, started: Set<Int>) {
        val part = readPart(job.record.inputFileId, claimed.record.index)
        val chunk = ChunkExecution(job, target, claimed, ChunkExecution.parseLines(part), settings, started, nowMillis)
        executions[chunk.name] = chunk
        jobTracker.apply(claimed.stored)
        if (jobTracker.job(job.id) !== job) {
            abandon(chunk, "the job ended")
        } else if (job.record.state != JobState.IN_PROGRESS) {
            closeExecution(chunk)
        }
    }

    private suspend fun readPart(fileId: String, index: Int): FilePartRecord {
        while (true) {
            reader.part(fileId, index).onSuccess { return it }
            timer.pause(settings.maxServerBackoffMillis / 10)
        }
    }

    /** Whether a chunk held by [holder] may be taken over. */
    private fun canTakeOver(holder: VmId, incarnation: Long): Boolean = when {
        // An earlier process on this VM.
        holder == self.vm && incarnation < self.incarnation -> true
        // A claim of this process whose reply was lost; no node runs its items.
        holder == self.vm && incarnation == self.incarnation -> true
        else -> leaseMonitor.isLost(holder, incarnation)
    }

    /** Reads the leases of holders that are not live members and determines which chunks have lost their holder. */
    private suspend fun findLostChunks() {
        if (isCheckingLeases || stopping) return
        isCheckingLeases = true
        try {
            val live = members.live().associate { it.vm to it.incarnation }
            val open = jobTracker.jobs.filter { it.record.state == JobState.IN_PROGRESS }
                .flatMap { job -> job.heldChunks.map { job to it } }
            val suspects = open.map { it.second }
                .filter { it.holder != self.vm && live[it.holder] != it.holderIncarnation }
                .mapNotNullTo(HashSet()) { it.holder }
            leaseMonitor.refresh(suspects, restarted = suspects.filterTo(HashSet()) { it in live })
            lostChunks.clear()
            open.forEach { (job, chunk) ->
                val holder = chunk.holder
                if (holder != null && canTakeOver(holder, chunk.holderIncarnation) && !isHeldHere(job, chunk)) {
                    lostChunks.getOrPut(job.id) { LinkedHashSet() } += chunk.index
                }
            }
        } finally {
            isCheckingLeases = false
        }
        scheduleWork()
    }

    private fun isHeldHere(job: TrackedJob, chunk: ChunkSummary): Boolean {
        val name = BatchNames.chunkName(job.id, chunk.index)
        return name in executions || name in claimsInProgress.values
    }

    private fun toCandidate(job: TrackedJob): JobCandidate {
        val currentMillis = nowMillis
        val customer = job.record.customer
        val jobRate = job.itemsPerSecond(currentMillis)
        return JobCandidate(
            jobId = job.id,
            customer = customer,
            weight = configuration.current?.customers?.get(customer)?.weight ?: 1,
            recentUsage = recentUsage[customer]?.valueAt(currentMillis) ?: 0.0,
            deadlineMillis = job.record.deadlineMillis,
            windowMillis = job.record.completionWindowSeconds * 1_000,
            remainingItems = job.remainingItems,
            itemsPerSecond = if (jobRate > 0.0) jobRate else finishedItemRate.perSecondAt(currentMillis),
        )
    }

    private companion object {
        const val STOP_POLL_MILLIS = 20L
    }
}
