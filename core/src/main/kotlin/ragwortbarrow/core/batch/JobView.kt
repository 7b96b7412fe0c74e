package ragwortbarrow.core.batch

import ragwortbarrow.core.store.StoredObject

/** What this node knows of an open job and its chunks; fed by watches, so it lags behind the platform. */
internal class JobView(val id: String, var stored: StoredObject, var record: JobRecord) {
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
    val hasUnclaimed: Boolean get() = released.isNotEmpty() || chunks.size < record.chunkCount

    /** Chunks that are open and have a holder. */
    val heldChunks: List<ChunkSummary> get() = chunks.values.filter { it.state == ChunkState.OPEN && it.holder != null }

    fun chunk(index: Int): ChunkSummary? = chunks[index]

    fun itemsPerSecond(nowMillis: Long): Double = throughput.perSecondAt(nowMillis)

    /** Takes a newer summary of a chunk; an older one, or one already known, changes nothing. */
    fun apply(summary: ChunkSummary, nowMillis: Long) {
        val before = chunks[summary.index]
        if (before != null && before.version >= summary.version) return
        chunks[summary.index] = summary
        val gained = summary.finishedItems - (before?.finishedItems ?: 0)
        finishedItems += gained
        if (gained > 0) throughput.add(gained.toDouble(), nowMillis)
        if (summary.state != ChunkState.OPEN && before?.state.let { it == null || it == ChunkState.OPEN }) {
            finishedChunks++
        }
        if (summary.state == ChunkState.OPEN && summary.holder == null) {
            released += summary.index
        } else {
            released -= summary.index
        }
    }

    /**
     * A chunk that nobody holds, first one that was released. Workers start their search at different places, by
     * [seed], so that they seldom try to create the same chunk.
     */
    fun nextUnclaimed(seed: Int, excluded: Set<Int>): Int? {
        released.firstOrNull { it !in excluded }?.let { return it }
        if (chunks.size >= record.chunkCount) return null
        val start = Math.floorMod(seed, record.chunkCount)
        return (0 until record.chunkCount).asSequence()
            .map { (start + it) % record.chunkCount }
            .firstOrNull { it !in chunks && it !in excluded }
    }

    private val ChunkSummary.finishedItems: Int get() = completedItems + failedItems
}
