package ragwortbarrow.core.jobs

/**
 * The stored results of one job, ordered by position. Positions and contents never change: chunks are only ever
 * created, each under the next number, so two nodes that both act as holder of the job can't store different chunks
 * under the same number.
 */
class ResultLog(val total: Int) {
    private val results = ArrayList<ItemResult>()
    private val itemIds = HashSet<String>()

    /** The number of the next chunk. */
    var nextChunkNumber: Int = 0
        private set

    val size: Int get() = results.size

    /** Whether every item has a result. */
    val isComplete: Boolean get() = results.size >= total

    fun contains(item: String): Boolean = item in itemIds

    fun resultsFrom(position: Int): List<ItemResult> =
        if (position >= results.size) emptyList() else results.subList(position.coerceAtLeast(0), results.size).toList()

    /**
     * The next chunk to store: those of [newResults] that have no position yet, as many as fit into [maxBytes], but at
     * least one if there is any.
     */
    fun nextChunk(newResults: List<ItemResult>, maxBytes: Int = Int.MAX_VALUE): ResultChunk =
        ResultChunk(first = results.size, results = newResults.filter { it.id !in itemIds }.takeEncoded(maxBytes))

    /**
     * Adds the stored [chunk] with this [number], unless another reader has already added it. A result that already has
     * a position keeps it and is not added again.
     */
    fun add(number: Int, chunk: ResultChunk) {
        if (number != nextChunkNumber) return
        nextChunkNumber++
        for (result in chunk.results) if (itemIds.add(result.id)) results += result
    }
}
