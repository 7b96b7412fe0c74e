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
 * All state is confined to [scope], which runs its coroutines one at a time. [pump] starts what can start; everything
 * that may change this ends with a call of it.
 */
internal class BatchWorker(
    private val members: MemberView,
    private val timer: TimerService,
    private val reader: BatchReader,
    private val chunks: ChunkStore,
    private val leases: VmLeaseWatch,
    private val board: JobBoard,
    private val slots: SpareSlots,
    private val client: BackendClient,
    private val configuration: ConfigurationView,
    private val decisions: DecisionLog,
    private val scope: CoroutineScope,
    private val settings: BatchSettings,
    /** Whether this node's own lease holds at this instant. */
    private val isLeaseHeld: () -> Boolean,
    /** Called after this node wrote the last open chunk of a job. */
    private val onAllFinished: (JobView) -> Unit,
) {
    private val dispatchers = BatchDispatcher(members)
    private val servers = LinkedHashMap<BackendServerId, ServerState>()
    private val held = LinkedHashMap<String, HeldChunk>()
    private val claiming = HashMap<BatchTarget, String>()
    private val lostChunks = HashMap<String, MutableSet<Int>>()
    private val served = HashMap<CustomerId, DecayingCounter>()
    private val finishedItems = DecayingCounter()
    private val subscriptions = ArrayList<TimerSubscription>()
    private var observing = false
    private var stopping = false

    private val self = members.self
    private val now: Long get() = timer.monotonicMillis()

    /** Chunks that this node holds now. */
    val heldCount: Int get() = held.size

    /** Items that this node runs now. */
    val runningCount: Int get() = servers.values.sumOf { it.running.size }

    fun start() {
        subscriptions += timer.every(settings.tickMillis) { scope.launch { tick() } }
        subscriptions += timer.every(settings.leaseReadMillis) { scope.launch { observeHolders() } }
        subscriptions += timer.every(settings.loadReadMillis) { scope.launch { readLoads() } }
    }

    /** Ends running items, records what is done and gives the chunks up; an outage may cut this short. */
    suspend fun stop() {
        stopping = true
        subscriptions.forEach { it.cancel() }
        subscriptions.clear()
        val giveUpMillis = now + settings.stopMillis
        held.values.flatMap { it.running.values.toList() }.filter { it.chunk.repeatable }.forEach(::withdraw)
        while (now < giveUpMillis && (held.isNotEmpty() || claiming.isNotEmpty())) {
            if (now >= giveUpMillis - settings.stopMillis / 2) endUnrepeatable()
            held.values.filter { it.running.isEmpty() && !it.committing }.forEach { commit(it, release = true) }
            timer.pause(STOP_POLL_MILLIS)
        }
    }

    /** Takes an entry node's report and withdraws batch items at once where online requests need their slots. */
    fun acceptOnlineLoad(report: OnlineLoadReport) {
        slots.accept(report).forEach { withdrawExcess(it) }
        pump()
    }

    /** Takes a change of a job or of its chunks. */
    fun onJobChange(job: JobView) {
        for (chunk in held.values.filter { it.job.id == job.id }) {
            val summary = job.chunk(chunk.claimed.record.index)
            val overtaken = summary != null &&
                summary.version > chunk.claimed.stored.version &&
                !chunk.committing &&
                (summary.holder != self.vm || summary.holderIncarnation != self.incarnation)
            when {
                overtaken -> abandon(chunk, "taken over or closed by another writer")
                job.record.state == JobState.CANCELLING -> closeHeld(chunk)
                job.record.state == JobState.CANCELLED -> abandon(chunk, "the job was cancelled")
                else -> Unit
            }
        }
        if (job.record.state != JobState.IN_PROGRESS) lostChunks.remove(job.id)
        pump()
    }

    private fun tick() {
        slots.expire()
        refreshServers()
        servers.keys.toList().forEach { withdrawExcess(it) }
        pump()
    }

    private fun pump() {
        if (stopping) return
        startAlone()
        startItems()
        held.values.toList().forEach(::commitIfDue)
        claimMore()
    }

    // Backend servers.

    private fun refreshServers() {
        val snapshot = configuration.current ?: return
        val mine = snapshot.manifest.backendServers
            .filter { it.failureDomain == self.failureDomain && dispatchers.of(it)?.vm == self.vm }
            .associateBy { it.id }
        mine.values.forEach { server ->
            val state = servers.getOrPut(server.id) { ServerState(server, settings) }
            state.server = server
            state.mine = true
        }
        servers.values.filter { it.server.id !in mine }.forEach {
            it.mine = false
            it.reservedFor = null
        }
        servers.values.removeIf { !it.mine && it.running.isEmpty() }
    }

    private suspend fun readLoads() {
        servers.values.filter { it.mine && (it.running.isNotEmpty() || board.jobs.isNotEmpty()) }.forEach { state ->
            scope.launch {
                client.fetchLoadReport(state.server).onSuccess {
                    slots.accept(state.server.id, it)
                    // Half, because two dispatchers that see each other's items would otherwise both leave.
                    val excess = state.running.size - slots.allowed(state.server)
                    withdrawNewest(state, (excess + 1) / 2)
                }
            }
        }
    }

    private fun freeSlots(state: ServerState): Int = when {
        state.reservedFor != null || !state.isUsable(now) -> 0
        else -> slots.allowed(state.server) - state.running.size
    }

    private fun serversOf(target: BatchTarget): List<ServerState> {
        val snapshot = configuration.current ?: return emptyList()
        return target.servers(snapshot).mapNotNull { servers[it.id] }.filter { it.mine }
    }

    /** Makes room on a server that runs more than the reported online requests leave. */
    private fun withdrawExcess(serverId: BackendServerId) {
        val state = servers[serverId] ?: return
        withdrawNewest(state, state.running.size - slots.allowedBesideOnline(state.server))
    }

    private fun withdrawNewest(state: ServerState, count: Int) {
        if (count <= 0) return
        val newest = state.running.filter { it.chunk.repeatable }.takeLast(count)
        newest.asReversed().forEach(::withdraw)
        decisions.record(
            "batch_yield",
            "server" to state.server.id,
            "online" to slots.onlineInFlight(state.server.id),
            "cancelled" to newest.size,
            "left" to state.running.size,
        )
    }

    /** Cancels an item and puts it back to the front of the queue; the attempt does not count. */
    private fun withdraw(item: RunningItem) {
        item.job.cancel()
        scope.launch { client.cancel(item.server.server, item.requestId) }
        detach(item)
        requeue(item)
    }

    private fun requeue(item: RunningItem) {
        if (item.alone) item.chunk.alone.addFirst(item.index) else item.chunk.pending.addFirst(item.index)
        if (item.chunk.needsClearance) item.chunk.cleared += item.index
    }

    private fun detach(item: RunningItem) {
        item.chunk.running.remove(item.index, item)
        item.server.running.remove(item)
        if (item.alone) item.server.reservedFor = null
        slots.batchInFlight(item.server.server.id, item.server.running.size)
    }

    // Items.

    private fun startItems() {
        for (state in servers.values.sortedByDescending(::freeSlots)) {
            var free = freeSlots(state)
            while (free > 0) {
                val chunk = nextChunkFor(state.server) ?: break
                val index = chunk.nextStartable() ?: break
                if (!chunk.repeatable && !isLeaseHeld()) break
                chunk.pending.remove(index)
                startItem(chunk, index, state, alone = false)
                free--
            }
        }
    }

    private fun nextChunkFor(server: BackendServer): HeldChunk? {
        val snapshot = configuration.current ?: return null
        val able = held.values.filter { chunk ->
            chunk.nextStartable() != null && chunk.target.servers(snapshot).any { it.id == server.id }
        }
        if (able.size <= 1) return able.firstOrNull()
        val chosen = JobOrder.choose(able.map { it.job }.distinct().map(::candidate), timer.wallMillis()) ?: return null
        return able.firstOrNull { it.job.id == chosen.candidate.jobId }
    }

    /** The last attempt of an item runs on a server that runs nothing else, as far as this node can arrange it. */
    private fun startAlone() {
        for (chunk in held.values.toList()) {
            val index = chunk.alone.firstOrNull() ?: continue
            if (chunk.closing) continue
            val usable = serversOf(chunk.target).filter { it.isUsable(now) }
            val reserved = usable.firstOrNull { it.reservedFor?.first === chunk }
                ?: usable.filter { it.reservedFor == null }.minByOrNull { it.running.size }
                    ?.also {
                        it.reservedFor = chunk to index
                        chunk.aloneSinceMillis = now
                    }
                ?: continue
            val waitedLong = now - chunk.aloneSinceMillis >= settings.aloneWaitMillis
            val free = reserved.running.isEmpty() && slots.allowed(reserved.server) > 0
            if (free && (waitedLong || slots.onlineInFlight(reserved.server.id) == 0)) {
                chunk.alone.removeFirst()
                startItem(chunk, index, reserved, alone = true)
            }
        }
    }

    private fun startItem(chunk: HeldChunk, index: Int, state: ServerState, alone: Boolean) {
        val line = chunk.line(index)
        val item = RunningItem(chunk, index, state, chunk.nextRequestId(index), alone)
        chunk.cleared -= index
        chunk.running[index] = item
        state.running += item
        slots.batchInFlight(state.server.id, state.running.size)
        served.getOrPut(chunk.job.record.customer) { DecayingCounter() }.add(cost(line), now)
        decisions.record(
            "batch_item",
            "request_id" to item.requestId,
            "chosen" to state.server.id,
            "running" to state.running.size,
            "allowed" to slots.allowed(state.server),
            "reason" to if (alone) "last_attempt_alone" else "spare_slot",
        )
        val request = BackendRequest(
            requestId = item.requestId,
            method = line.method,
            pathAndQuery = line.url,
            headers = listOf(HttpHeader("Content-Type", "application/json")),
            body = JsonObject(line.body - "stream").toString().encodeToByteArray(),
            timeoutMillis = settings.itemTimeoutMillis,
        )
        item.job = scope.launch { ended(item, line, client.send(state.server, request)) }
    }

    private fun cost(line: BatchLine): Double = when (settings.shareUnit) {
        ShareUnit.ITEMS -> 1.0
        ShareUnit.TOKENS -> (line.maxTokens ?: defaultTokens(line)).toDouble()
    }

    private fun defaultTokens(line: BatchLine): Int =
        configuration.current?.manifest?.models?.firstOrNull { it.id == line.model }?.maxTokens ?: 1

    private fun ended(item: RunningItem, line: BatchLine, outcome: AttemptOutcome) {
        val chunk = item.chunk
        if (chunk.running[item.index] !== item) return
        detach(item)
        val outcomes = ItemOutcomes(line.customId, item.requestId.value)
        when (val meaning = outcomes.of(outcome, chunk.repeatable)) {
            is ItemOutcome.Finished -> {
                if (outcome is AttemptOutcome.Answered) item.server.succeeded() else item.server.failed(now)
                chunk.finish(item.index, meaning.result)
                finishedItems.add(1.0, now)
            }
            is ItemOutcome.NotRun -> {
                item.server.failed(now)
                requeue(item)
            }
            is ItemOutcome.FailedAttempt -> {
                if (outcome !is AttemptOutcome.Answered) item.server.failed(now)
                chunk.failAttempt(item.index, meaning.reason)
                decisions.record("batch_attempt", "request_id" to item.requestId, "reason" to meaning.reason)
            }
        }
        pump()
    }

    // Commits.

    private fun commitIfDue(chunk: HeldChunk) {
        if (chunk.committing || chunk.closing) return
        val ageMillis = now - chunk.lastCommitMillis
        val idle = chunk.pending.isEmpty() && chunk.running.isEmpty()
        val clearing = chunk.itemsToClear()
        val countsDue = chunk.awaitingCount.isNotEmpty() && (idle || ageMillis >= settings.partialCommitMaxMillis / 3)
        val worthIt = chunk.uncommitted.size >= settings.partialCommitItems &&
            ageMillis >= settings.partialCommitMinMillis
        val overdue = chunk.uncommitted.isNotEmpty() && ageMillis >= settings.partialCommitMaxMillis
        val partialDue = (worthIt || overdue) && chunk.partialCommits < settings.partialCommitsPerChunk
        val stranded = chunk.running.isEmpty() && serversOf(chunk.target).isEmpty()
        when {
            !chunk.hasWork -> commit(chunk)
            stranded -> commit(chunk, release = true)
            clearing.isNotEmpty() || countsDue -> commit(chunk, clearing)
            partialDue -> {
                chunk.partialCommits++
                commit(chunk)
            }
        }
    }

    private fun commit(
        chunk: HeldChunk,
        clearing: List<Int> = emptyList(),
        release: Boolean = false,
        close: Boolean = false,
    ) {
        chunk.committing = true
        if (release || close) chunk.closing = true
        val results = chunk.uncommitted.keys.toSet()
        val counted = chunk.awaitingCount.toSet()
        val next = chunk.nextRecord(clearing, release, close)
        scope.launch {
            when (val outcome = chunks.commit(chunk.claimed, next)) {
                is CommitOutcome.Committed -> {
                    chunk.committing = false
                    committed(chunk, outcome.chunk, results, counted, clearing)
                }
                CommitOutcome.Lost -> abandon(chunk, "the commit was refused")
            }
            pump()
        }
    }

    private fun committed(
        chunk: HeldChunk,
        written: ClaimedChunk,
        results: Set<Int>,
        counted: Set<Int>,
        clearing: List<Int>,
    ) {
        chunk.committed(written, results, counted, clearing, now)
        val record = written.record
        if (record.state != ChunkState.OPEN || record.holder == null) held.remove(chunk.name, chunk)
        decisions.record(
            "batch_commit",
            "chunk" to chunk.name,
            "fencing" to record.fencingNumber,
            "state" to record.state.name.lowercase(),
            "results" to results.size,
            "finished" to record.finishedItems,
            "items" to record.itemCount,
        )
        board.apply(written.stored)
        if (chunk.job.record.state == JobState.CANCELLING) closeHeld(chunk)
        if (chunk.job.allChunksFinished) onAllFinished(chunk.job)
    }

    /** Stops the items of a cancelled job and records what is done. */
    private fun closeHeld(chunk: HeldChunk) {
        if (held[chunk.name] !== chunk) return
        chunk.running.values.toList().forEach(::withdraw)
        chunk.pending.clear()
        chunk.alone.clear()
        if (!chunk.committing) commit(chunk, close = true)
    }

    /** Gives up a chunk that somebody else holds or closed; nothing more of it is written. */
    private fun abandon(chunk: HeldChunk, reason: String) {
        held.remove(chunk.name, chunk)
        chunk.closing = true
        chunk.running.values.toList().forEach(::withdraw)
        chunk.pending.clear()
        chunk.alone.clear()
        servers.values.filter { it.reservedFor?.first === chunk }.forEach { it.reservedFor = null }
        decisions.record("batch_abandon", "chunk" to chunk.name, "reason" to reason)
    }

    private fun endUnrepeatable() {
        held.values.flatMap { it.running.values.toList() }.filter { !it.chunk.repeatable }.forEach { item ->
            item.job.cancel()
            detach(item)
            val message = "the node stopped before it answered"
            item.chunk.finish(item.index, item.chunk.failure(item.index, ResultCode.ITEM_UNKNOWN, message))
        }
    }

    // Claims.

    private fun claimMore() {
        val snapshot = configuration.current ?: return
        val claimable = board.jobs.filter(::hasClaimableChunks)
            .groupBy { BatchTarget.of(it.record, snapshot) }
        for ((target, jobs) in claimable) {
            if (target == null || target in claiming || !isShortOfItems(target)) continue
            val placement = JobOrder.choose(jobs.map(::candidate), timer.wallMillis(), decisions)
            val job = placement?.let { board.job(it.candidate.jobId) }
            if (job != null) claimFrom(job, target)
        }
    }

    private fun hasClaimableChunks(job: JobView): Boolean =
        job.record.state == JobState.IN_PROGRESS && (job.hasUnclaimed || !lostChunks[job.id].isNullOrEmpty())

    /** Whether the items at hand would not fill the spare slots once more. */
    private fun isShortOfItems(target: BatchTarget): Boolean {
        val usable = serversOf(target).filter { it.isUsable(now) }
        val spare = usable.sumOf { slots.allowed(it.server) }
        val atHand = held.values.filter { it.target == target }.sumOf { it.pending.size + it.alone.size }
        return atHand < spare
    }

    private fun claimFrom(job: JobView, target: BatchTarget) {
        val heldIndexes = held.values.filter { it.job.id == job.id }.mapTo(HashSet()) { it.claimed.record.index }
        val lost = lostChunks[job.id]?.firstOrNull { it !in heldIndexes }
        val index = lost ?: job.nextUnclaimed(self.vm.value.hashCode(), heldIndexes) ?: return
        claiming[target] = BatchNames.chunkName(job.id, index)
        scope.launch {
            try {
                claim(job, target, index)
            } finally {
                claiming.remove(target)
                lostChunks[job.id]?.remove(index)
            }
            pump()
        }
    }

    private suspend fun claim(job: JobView, target: BatchTarget, index: Int) {
        val itemCount = job.record.chunkItemCounts[index]
        val isNew = job.chunk(index) == null
        val started = if (isNew && !target.repeatable) {
            (0 until minOf(itemCount, settings.startRecordItems)).toList()
        } else {
            emptyList()
        }
        val outcome = if (isNew) {
            chunks.claimNew(job.id, index, itemCount, started)
        } else {
            chunks.takeOver(job.id, index, ::mayTakeFrom)
        }
        decisions.record(
            "batch_claim",
            "chunk" to BatchNames.chunkName(job.id, index),
            "new" to isNew,
            "outcome" to outcome::class.simpleName,
        )
        when (outcome) {
            is ClaimOutcome.Claimed -> hold(job, target, outcome.chunk, started.toSet())
            ClaimOutcome.Refused -> learn(job, index)
            is ClaimOutcome.Unavailable -> timer.pause(settings.serverPauseMaxMillis / 10)
        }
    }

    /** Learns who has a chunk that could not be claimed, so that it is not tried again before the watch tells. */
    private suspend fun learn(job: JobView, index: Int) {
        val stored = reader.chunk(job.id, index).getOrElse { return }
        board.apply(stored)
    }

    private suspend fun hold(job: JobView, target: BatchTarget, claimed: ClaimedChunk, started: Set<Int>) {
        val part = readPart(job.record.inputFileId, claimed.record.index)
        val chunk = HeldChunk(job, target, claimed, HeldChunk.linesOf(part), settings, started, now)
        held[chunk.name] = chunk
        board.apply(claimed.stored)
        if (board.job(job.id) !== job) {
            abandon(chunk, "the job ended")
        } else if (job.record.state != JobState.IN_PROGRESS) {
            closeHeld(chunk)
        }
    }

    private suspend fun readPart(fileId: String, index: Int): FilePartRecord {
        while (true) {
            reader.part(fileId, index).onSuccess { return it }
            timer.pause(settings.serverPauseMaxMillis / 10)
        }
    }

    /** Whether a chunk of [holder] may be claimed: its lease is lost, or it is an earlier process on this VM. */
    private fun mayTakeFrom(holder: VmId, incarnation: Long): Boolean = when {
        holder == self.vm && incarnation < self.incarnation -> true
        // A claim of this process whose reply never came; nobody else uses it.
        holder == self.vm && incarnation == self.incarnation -> true
        else -> leases.isLost(holder, incarnation)
    }

    /** Reads the leases of holders that are not seen alive, and notes which chunks were lost by their holders. */
    private suspend fun observeHolders() {
        if (observing || stopping) return
        observing = true
        try {
            val live = members.live().associate { it.vm to it.incarnation }
            val open = board.jobs.filter { it.record.state == JobState.IN_PROGRESS }
                .flatMap { job -> job.heldChunks.map { job to it } }
            val suspects = open.map { it.second }
                .filter { it.holder != self.vm && live[it.holder] != it.holderIncarnation }
                .mapNotNullTo(HashSet()) { it.holder }
            leases.observe(suspects, restarted = suspects.filterTo(HashSet()) { it in live })
            lostChunks.clear()
            open.forEach { (job, chunk) ->
                val holder = chunk.holder
                if (holder != null && mayTakeFrom(holder, chunk.holderIncarnation) && !isOurs(job, chunk)) {
                    lostChunks.getOrPut(job.id) { LinkedHashSet() } += chunk.index
                }
            }
        } finally {
            observing = false
        }
        pump()
    }

    private fun isOurs(job: JobView, chunk: ChunkSummary): Boolean {
        val name = BatchNames.chunkName(job.id, chunk.index)
        return name in held || name in claiming.values
    }

    private fun candidate(job: JobView): JobCandidate {
        val nowMillis = now
        val customer = job.record.customer
        val own = job.itemsPerSecond(nowMillis)
        return JobCandidate(
            jobId = job.id,
            customer = customer,
            weight = configuration.current?.customers?.get(customer)?.weight ?: 1,
            served = served[customer]?.valueAt(nowMillis) ?: 0.0,
            deadlineMillis = job.record.deadlineMillis,
            windowMillis = job.record.completionWindowSeconds * 1_000,
            remainingItems = job.remainingItems,
            itemsPerSecond = if (own > 0.0) own else finishedItems.perSecondAt(nowMillis),
        )
    }

    private companion object {
        const val STOP_POLL_MILLIS = 20L
    }
}
