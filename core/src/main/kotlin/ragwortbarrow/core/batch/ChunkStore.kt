package ragwortbarrow.core.batch

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.TimerService

/** A chunk as this process last wrote it; the next write is conditional on exactly this version. */
internal class ClaimedChunk(val stored: StoredObject, val record: ChunkRecord)

internal sealed interface ClaimOutcome {
    data class Claimed(val chunk: ClaimedChunk) : ClaimOutcome

    /** Somebody else holds the chunk, or nothing is left to do in it. */
    data object Refused : ClaimOutcome

    data class Unavailable(val message: String) : ClaimOutcome
}

internal sealed interface CommitOutcome {
    data class Committed(val chunk: ClaimedChunk) : CommitOutcome

    /** Somebody else wrote the chunk since; nothing of this commit took effect. */
    data object Lost : CommitOutcome
}

/**
 * Claims, commits and closes chunks. Each write is conditional on the version that the writer saw, so of two holders
 * only the one that claimed last records results.
 */
internal class ChunkStore(
    private val store: ObjectStore,
    timer: TimerService,
    private val self: VmId,
    private val incarnation: Long,
    private val writers: WriterTokens,
    private val maxInlineBytes: Int = 600_000,
) {
    private val writes = ResolvedWrites(store, timer)

    /** Creates the chunk with this process as its holder; [started] items are recorded as started. */
    suspend fun claimNew(jobId: String, index: Int, itemCount: Int, started: List<Int> = emptyList()): ClaimOutcome {
        val record = ChunkRecord(
            jobId = jobId,
            index = index,
            itemCount = itemCount,
            holder = self,
            holderIncarnation = incarnation,
            fencingNumber = 1,
            items = started.map { ItemRecord(it, started = true) },
            writer = writers.next(),
        )
        val labels = BatchNames.chunkLabels(record)
        val name = BatchNames.chunkName(jobId, index)
        val created = writes.create(ObjectKind.BATCH_CHUNKS, name, record.toSpec(), labels, RetryPolicy.CLAIM)
        return created.mapBoth({ ClaimOutcome.Claimed(ClaimedChunk(it, record)) }, ::refused)
    }

    /**
     * Takes an existing chunk with a higher fencing number if nobody holds it, or if [holderIsLost] says so of its
     * holder and incarnation.
     */
    suspend fun takeOver(jobId: String, index: Int, holderIsLost: (VmId, Long) -> Boolean): ClaimOutcome {
        val name = BatchNames.chunkName(jobId, index)
        val stored = store.get(ObjectKind.BATCH_CHUNKS, name)
            .getOrElse { return ClaimOutcome.Unavailable(it.message) }
        val record = stored.record<ChunkRecord>()
        val holder = record.holder
        if (record.state != ChunkState.OPEN) return ClaimOutcome.Refused
        if (holder != null && !holderIsLost(holder, record.holderIncarnation)) return ClaimOutcome.Refused
        val next = record.copy(
            holder = self,
            holderIncarnation = incarnation,
            fencingNumber = record.fencingNumber + 1,
            lostHolders = if (holder == null) record.lostHolders else record.lostHolders + 1,
            writer = writers.next(),
        )
        val updated = writes.update(stored, next.toSpec(), BatchNames.chunkLabels(next), RetryPolicy.CLAIM)
        return updated.mapBoth({ ClaimOutcome.Claimed(ClaimedChunk(it, next)) }, ::refused)
    }

    /** Replaces the chunk by [next], however long the platform is away. */
    suspend fun commit(held: ClaimedChunk, next: ChunkRecord): CommitOutcome {
        val writer = writers.next()
        val fitted = fit(held.stored.name, next, writer).copy(writer = writer)
        val labels = BatchNames.chunkLabels(fitted)
        val updated = writes.update(held.stored, fitted.toSpec(), labels, RetryPolicy.UNTIL_KNOWN)
        return updated.mapBoth({ CommitOutcome.Committed(ClaimedChunk(it, fitted)) }, { CommitOutcome.Lost })
    }

    /** Closes a chunk of a cancelled job, also one that was never claimed; null while the platform is unavailable. */
    suspend fun close(jobId: String, index: Int, itemCount: Int): ChunkRecord? {
        val name = BatchNames.chunkName(jobId, index)
        while (true) {
            val found = store.get(ObjectKind.BATCH_CHUNKS, name)
            val stored = found.get()
            if (stored == null && found.getError() !is StoreError.NotFound) return null
            val current = stored?.record<ChunkRecord>()
            if (current != null && current.state != ChunkState.OPEN) return current
            val closed = (current ?: ChunkRecord(jobId, index, itemCount, writer = "")).copy(
                holder = null,
                fencingNumber = (current?.fencingNumber ?: 0) + 1,
                state = ChunkState.CLOSED,
                writer = writers.next(),
            )
            val labels = BatchNames.chunkLabels(closed)
            val written = if (stored == null) {
                writes.create(ObjectKind.BATCH_CHUNKS, name, closed.toSpec(), labels, RetryPolicy.BOUNDED)
            } else {
                writes.update(stored, closed.toSpec(), labels, RetryPolicy.BOUNDED)
            }
            if (written.isOk) return closed
            if (written.getError()?.isRace() != true) return null
        }
    }

    private fun refused(error: StoreError): ClaimOutcome =
        if (error.isRace()) ClaimOutcome.Refused else ClaimOutcome.Unavailable(error.message)

    /**
     * Moves results into objects of their own when the chunk would grow too large. Such an object counts only once the
     * chunk names it, so one that belongs to a refused commit is never read.
     */
    private suspend fun fit(name: String, record: ChunkRecord, writer: String): ChunkRecord {
        val sizes = record.items.filter { it.result != null }
            .associate { it.index to recordJson.encodeToString(checkNotNull(it.result)).encodeToByteArray().size }
        if (sizes.values.sum() <= maxInlineBytes) return record
        val moved = HashMap<Int, String>()
        groups(sizes).forEachIndexed { number, group ->
            val overflow = BatchNames.overflowName(name, writer, number)
            val results = record.items.filter { it.index in group }.associate { it.index to checkNotNull(it.result) }
            writes.create(
                ObjectKind.BATCH_CHUNKS,
                overflow,
                OverflowRecord(results).toSpec(),
                emptyMap(),
                RetryPolicy.UNTIL_KNOWN,
            )
            group.forEach { moved[it] = overflow }
        }
        return record.copy(
            items = record.items.map { item ->
                moved[item.index]?.let { item.copy(result = null, overflow = it) } ?: item
            },
        )
    }

    /** Groups item indexes so that each group stays within the limit; a result over the limit stands alone. */
    private fun groups(sizes: Map<Int, Int>): List<Set<Int>> {
        val groups = ArrayList<MutableSet<Int>>()
        var bytes = Int.MAX_VALUE
        sizes.forEach { (index, size) ->
            if (bytes > maxInlineBytes - size) {
                groups += LinkedHashSet<Int>()
                bytes = 0
            }
            groups.last() += index
            bytes += size
        }
        return groups
    }
}
