package ragwortbarrow.core.batch

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.Job
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.ids.RequestId

/** An item in flight on a backend server. */
internal class RunningItem(
    val chunk: ChunkExecution,
    val index: Int,
    val server: ServerState,
    val requestId: RequestId,
    val isIsolated: Boolean,
) {
    lateinit var job: Job
}

/**
 * The execution of a chunk that this node holds: which of its items are pending, running, or finished but not yet
 * committed.
 *
 * On routes that are not repeatable, and in a chunk that lost several holders in a row, the start of an item is
 * committed before the item is sent; see [startRecorded].
 */
internal class ChunkExecution(
    val job: TrackedJob,
    val target: BatchTarget,
    var claimed: StoredChunk,
    private val lines: List<BatchLine>,
    private val settings: BatchSettings,
    /** Items that the claim itself recorded as started; they have not been sent yet. */
    startedByClaim: Set<Int>,
    nowMillis: Long,
) {
    val name: String get() = claimed.stored.name
    val repeatable: Boolean get() = target.repeatable

    /** Whether items run one at a time, because the chunk lost several holders in a row without progress. */
    val isSequential: Boolean = repeatable && claimed.record.lostHolders >= settings.lostHoldersBeforeSequential
    val requiresStartRecord: Boolean get() = !repeatable || isSequential

    val pending = ArrayDeque<Int>()

    /** Items whose last attempt has to run alone on its server. */
    val isolated = ArrayDeque<Int>()
    val running = LinkedHashMap<Int, RunningItem>()

    /** Items whose start is committed but that have not been sent. */
    val startRecorded = LinkedHashSet<Int>()

    /** Items whose failed attempt has to be committed before they are retried. */
    val awaitingAttemptRecord = LinkedHashSet<Int>()
    val uncommitted = LinkedHashMap<Int, ItemResult>()
    private val attempts = HashMap<Int, Int>()
    private var sendCount = 0

    var committing = false
    var closing = false
    var lastCommitMillis = nowMillis
    var partialCommits = 0
    var reservedSinceMillis = nowMillis

    init {
        val known = claimed.record.items.associateBy { it.index }
        for (index in 0 until claimed.record.itemCount) {
            val item = known[index] ?: ItemRecord(index)
            attempts[index] = item.attempts
            when {
                item.state != ItemState.UNFINISHED -> Unit
                index in startedByClaim -> {
                    startRecorded += index
                    pending += index
                }
                item.started ->
                    uncommitted[index] = failureResult(
                        index,
                        ResultCode.ITEM_UNKNOWN,
                        "the node that ran the item was lost before it recorded a result",
                    )
                item.attempts >= settings.maxAttempts ->
                    uncommitted[index] = failureResult(index, ResultCode.ITEM_FAILED, "no attempt completed the item")
                !isSequential && item.attempts == settings.maxAttempts - 1 -> isolated += index
                else -> pending += index
            }
        }
    }

    val hasWork: Boolean
        get() = pending.isNotEmpty() ||
            isolated.isNotEmpty() ||
            running.isNotEmpty() ||
            awaitingAttemptRecord.isNotEmpty()

    fun line(index: Int): BatchLine = lines[index]

    fun attemptCount(index: Int): Int = attempts.getValue(index)

    /** Returns an id that differs from those of all earlier attempts of the item, by this or an earlier holder. */
    fun nextRequestId(index: Int): RequestId = RequestId("$name-$index-${claimed.record.fencingNumber}-${++sendCount}")

    fun failureResult(index: Int, code: ResultCode, message: String): ItemResult =
        ItemOutcomeMapper(lines[index].customId, "").failureResult(code, message)

    /** The item to start next, or null if none may start now. */
    fun nextStartableItem(): Int? = when {
        closing -> null
        requiresStartRecord -> pending.firstOrNull { it in startRecorded }
        else -> pending.firstOrNull()
    }

    fun recordResult(index: Int, result: ItemResult) {
        uncommitted[index] = result
    }

    /** Counts a failed attempt. The item is retried once the count is committed, or fails if no attempt is left. */
    fun recordFailedAttempt(index: Int, reason: String) {
        // In sequential mode the start record already counted the attempt.
        val count = if (isSequential) attemptCount(index) else attemptCount(index) + 1
        attempts[index] = count
        if (count >= settings.maxAttempts) {
            recordResult(index, failureResult(index, ResultCode.ITEM_FAILED, "failed $count times, last: $reason"))
        } else {
            awaitingAttemptRecord += index
        }
    }

    /** Items whose start has to be recorded by the next commit; empty while items with a start record are pending. */
    fun itemsNeedingStartRecord(): List<Int> = when {
        !requiresStartRecord || closing || pending.isEmpty() || pending.any { it in startRecorded } -> emptyList()
        isSequential -> if (running.isEmpty()) listOf(pending.first()) else emptyList()
        else -> pending.take(settings.itemsPerStartRecord)
    }

    /**
     * Updates this execution after a commit that wrote [chunk] with the results of the items [results], the failed
     * attempts of [recordedAttempts] and the starts of [starting].
     */
    fun applyCommit(
        chunk: StoredChunk,
        results: Set<Int>,
        recordedAttempts: Set<Int>,
        starting: List<Int>,
        nowMillis: Long,
    ) {
        claimed = chunk
        lastCommitMillis = nowMillis
        uncommitted.keys.removeAll(results)
        startRecorded += starting
        if (isSequential) starting.forEach { attempts[it] = attemptCount(it) + 1 }
        for (index in recordedAttempts.reversed()) {
            awaitingAttemptRecord -= index
            val isLast = !isSequential && attemptCount(index) >= settings.maxAttempts - 1
            if (isLast) isolated.addFirst(index) else pending.addFirst(index)
        }
    }

    /**
     * Returns the record to commit, which records [starting] as started. With [release] the chunk has no holder
     * afterwards; with [close] it is closed unless all its items are finished.
     */
    fun nextRecord(starting: List<Int>, release: Boolean, close: Boolean): ChunkRecord {
        val items = claimed.record.items.associateBy { it.index }.toMutableMap()
        attempts.forEach { (index, count) ->
            if (count > 0) items[index] = (items[index] ?: ItemRecord(index)).copy(attempts = count)
        }
        uncommitted.forEach { (index, result) ->
            items[index] = (items[index] ?: ItemRecord(index)).copy(state = result.state, result = result)
        }
        starting.forEach { index ->
            val item = items[index] ?: ItemRecord(index)
            items[index] = if (repeatable) item.copy(attempts = item.attempts + 1) else item.copy(started = true)
        }
        if (release) removeUnusedStartRecords(items)
        val allFinished = items.values.count { it.state != ItemState.UNFINISHED } == claimed.record.itemCount
        val state = when {
            allFinished -> ChunkState.DONE
            close -> ChunkState.CLOSED
            else -> ChunkState.OPEN
        }
        return claimed.record.copy(
            state = state,
            holder = claimed.record.holder.takeIf { state == ChunkState.OPEN && !release },
            items = items.values.sortedBy { it.index },
            lostHolders = if (uncommitted.isEmpty()) claimed.record.lostHolders else 0,
        )
    }

    /** Removes the start records of items that were never sent, so that the next holder can start them. */
    private fun removeUnusedStartRecords(items: MutableMap<Int, ItemRecord>) {
        pending.filter { it in startRecorded }.forEach { index ->
            val item = items.getValue(index)
            items[index] = if (repeatable) item.copy(attempts = item.attempts - 1) else item.copy(started = false)
        }
    }

    companion object {
        /** Parses the lines of a stored part, which were validated before they were stored. */
        fun parseLines(part: FilePartRecord): List<BatchLine> = part.lines.mapIndexed { index, line ->
            BatchInput.parseLine(line, index + 1).getOrElse { error(it.message) }
        }
    }
}
