package ragwortbarrow.core.batch

import ragwortbarrow.core.store.StoredObject

/** This node's copy of an open job and the state of its chunks. It is fed by watches and lags behind the platform. */
internal class TrackedJob(val id: String, var stored: StoredObject, var record: JobRecord) {
    private val chunks = HashMap<Int, ChunkSummary>()
    private val throughput = DecayingCounter()

    /** Indexes of chunks that exist, are open and have no holder. */
    private val released = LinkedHashSet<Int>()
    private var finishedChunks = 0

    val completedItems: Int get() = chunks.values.sumOf { it.completedItems }
    val failedItems: Int get() = chunks.values.sumOf { it.failedItems }
    var finishedItems = 0
        private set
    val remainingItems: Int get() = (record.itemCount - finishedItems).coerceAtLeast(0)
    val allChunksFinished: Boolean get() = finishedChunks == record.chunkCount
    val hasUnclaimedChunks: Boolean get() = released.isNotEmpty() || chunks.size < record.chunkCount

    /** Chunks that are open and have a holder. */
    val heldChunks: List<ChunkSummary> get() = chunks.values.filter { it.state == ChunkState.OPEN && it.holder != null }

    fun chunk(index: Int): ChunkSummary? = chunks[index]

    fun itemsPerSecond(nowMillis: Long): Double = throughput.perSecondAt(nowMillis)

    /** Applies [summary] unless the same or a newer version of the chunk is already known. */
    fun apply(summary: ChunkSummary, nowMillis: Long) {
        val previous = chunks[summary.index]
        if (previous != null && previous.version >= summary.version) return
        chunks[summary.index] = summary
        val newlyFinished = summary.finishedItems - (previous?.finishedItems ?: 0)
        finishedItems += newlyFinished
        if (newlyFinished > 0) throughput.add(newlyFinished.toDouble(), nowMillis)
        if (summary.state != ChunkState.OPEN && previous?.state.let { it == null || it == ChunkState.OPEN }) {
            finishedChunks++
        }
        if (summary.state == ChunkState.OPEN && summary.holder == null) {
            released += summary.index
        } else {
            released -= summary.index
        }
    }

    /**
     * Returns a chunk without a holder, preferring chunks that were released, or null if there is none. Nodes search
     * from different indexes, given by [seed], so that they rarely try to create the same chunk.
     */
    fun nextUnclaimedChunk(seed: Int, excluded: Set<Int>): Int? {
        released.firstOrNull { it !in excluded }?.let { return it }
        if (chunks.size >= record.chunkCount) return null
        val start = Math.floorMod(seed, record.chunkCount)
        return (0 until record.chunkCount).asSequence()
            .map { (start + it) % record.chunkCount }
            .firstOrNull { it !in chunks && it !in excluded }
    }

    private val ChunkSummary.finishedItems: Int get() = completedItems + failedItems
}
