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

/** A chunk as this process last wrote it. The next write is conditional on this version. */
internal class StoredChunk(val stored: StoredObject, val record: ChunkRecord)

internal sealed interface ClaimOutcome {
    data class Claimed(val chunk: StoredChunk) : ClaimOutcome

    /** Another node holds the chunk, or the chunk is finished. */
    data object Refused : ClaimOutcome

    data class Unavailable(val message: String) : ClaimOutcome
}

internal sealed interface CommitOutcome {
    data class Committed(val chunk: StoredChunk) : CommitOutcome

    /** Another writer changed the chunk first; this commit had no effect. */
    data object Rejected : CommitOutcome
}

/**
 * Claims, commits and closes chunks. Each write is conditional on the version that the writer last saw, so if two nodes
 * consider themselves the holder, only the one that claimed last can record results.
 */
internal class ChunkStore(
    private val store: ObjectStore,
    timer: TimerService,
    private val self: VmId,
    private val incarnation: Long,
    private val writerTokens: WriterTokens,
    private val maxInlineBytes: Int = 600_000,
) {
    private val objectWriter = BatchObjectWriter(store, timer)

    /** Creates the chunk with this process as its holder and records the items [started] as started. */
    suspend fun claimNew(jobId: String, index: Int, itemCount: Int, started: List<Int> = emptyList()): ClaimOutcome {
        val record = ChunkRecord(
            jobId = jobId,
            index = index,
            itemCount = itemCount,
            holder = self,
            holderIncarnation = incarnation,
            fencingNumber = 1,
            items = started.map { ItemRecord(it, started = true) },
            writer = writerTokens.next(),
        )
        val labels = BatchNames.chunkLabels(record)
        val name = BatchNames.chunkName(jobId, index)
        val created =
            objectWriter.create(ObjectKind.BATCH_CHUNKS, name, record.toSpec(), labels, WriteRetryPolicy.CLAIM)
        return created.mapBoth({ ClaimOutcome.Claimed(StoredChunk(it, record)) }, ::toClaimOutcome)
    }

    /**
     * Claims an existing chunk with a higher fencing number if it has no holder or if [isHolderLost] returns true for
     * its holder and the holder's incarnation.
     */
    suspend fun takeOver(jobId: String, index: Int, isHolderLost: (VmId, Long) -> Boolean): ClaimOutcome {
        val name = BatchNames.chunkName(jobId, index)
        val stored = store.get(ObjectKind.BATCH_CHUNKS, name)
            .getOrElse { return ClaimOutcome.Unavailable(it.message) }
        val record = stored.record<ChunkRecord>()
        val holder = record.holder
        if (record.state != ChunkState.OPEN) return ClaimOutcome.Refused
        if (holder != null && !isHolderLost(holder, record.holderIncarnation)) return ClaimOutcome.Refused
        val next = record.copy(
            holder = self,
            holderIncarnation = incarnation,
            fencingNumber = record.fencingNumber + 1,
            lostHolders = if (holder == null) record.lostHolders else record.lostHolders + 1,
            writer = writerTokens.next(),
        )
        val updated = objectWriter.update(stored, next.toSpec(), BatchNames.chunkLabels(next), WriteRetryPolicy.CLAIM)
        return updated.mapBoth({ ClaimOutcome.Claimed(StoredChunk(it, next)) }, ::toClaimOutcome)
    }

    /** Replaces the chunk by [next]. Retries without limit while the platform is unavailable. */
    suspend fun commit(current: StoredChunk, next: ChunkRecord): CommitOutcome {
        val writer = writerTokens.next()
        val record = moveLargeResults(current.stored.name, next, writer).copy(writer = writer)
        val labels = BatchNames.chunkLabels(record)
        val updated = objectWriter.update(current.stored, record.toSpec(), labels, WriteRetryPolicy.UNTIL_KNOWN)
        return updated.mapBoth({ CommitOutcome.Committed(StoredChunk(it, record)) }, { CommitOutcome.Rejected })
    }

    /**
     * Closes a chunk of a cancelled job, creating it if it was never claimed. Returns the chunk as it ended, or null if
     * the platform is unavailable.
     */
    suspend fun close(jobId: String, index: Int, itemCount: Int): ChunkRecord? {
        val name = BatchNames.chunkName(jobId, index)
        while (true) {
            val read = store.get(ObjectKind.BATCH_CHUNKS, name)
            val stored = read.get()
            if (stored == null && read.getError() !is StoreError.NotFound) return null
            val current = stored?.record<ChunkRecord>()
            if (current != null && current.state != ChunkState.OPEN) return current
            val closed = (current ?: ChunkRecord(jobId, index, itemCount, writer = "")).copy(
                holder = null,
                fencingNumber = (current?.fencingNumber ?: 0) + 1,
                state = ChunkState.CLOSED,
                writer = writerTokens.next(),
            )
            val labels = BatchNames.chunkLabels(closed)
            val written = if (stored == null) {
                objectWriter.create(ObjectKind.BATCH_CHUNKS, name, closed.toSpec(), labels, WriteRetryPolicy.BOUNDED)
            } else {
                objectWriter.update(stored, closed.toSpec(), labels, WriteRetryPolicy.BOUNDED)
            }
            if (written.isOk) return closed
            if (written.getError()?.isConflict() != true) return null
        }
    }

    private fun toClaimOutcome(error: StoreError): ClaimOutcome =
        if (error.isConflict()) ClaimOutcome.Refused else ClaimOutcome.Unavailable(error.message)

    /**
     * Moves results into overflow objects if they would make the chunk too large. An overflow object is read only if
     * the chunk refers to it, so one that belongs to a rejected commit is ignored.
     */
    private suspend fun moveLargeResults(name: String, record: ChunkRecord, writer: String): ChunkRecord {
        val sizes = record.items.filter { it.result != null }
            .associate { it.index to recordJson.encodeToString(checkNotNull(it.result)).encodeToByteArray().size }
        if (sizes.values.sum() <= maxInlineBytes) return record
        val moved = HashMap<Int, String>()
        groupBySize(sizes).forEachIndexed { number, group ->
            val overflow = BatchNames.overflowName(name, writer, number)
            val results = record.items.filter { it.index in group }.associate { it.index to checkNotNull(it.result) }
            objectWriter.create(
                ObjectKind.BATCH_CHUNKS,
                overflow,
                OverflowRecord(results).toSpec(),
                emptyMap(),
                WriteRetryPolicy.UNTIL_KNOWN,
            )
            group.forEach { moved[it] = overflow }
        }
        return record.copy(
            items = record.items.map { item ->
                moved[item.index]?.let { item.copy(result = null, overflow = it) } ?: item
            },
        )
    }

    /** Groups item indexes so that each group stays within the limit; a result over the limit gets its own group. */
    private fun groupBySize(sizes: Map<Int, Int>): List<Set<Int>> {
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
