package ragwortbarrow.core.jobs

/**
 * The results of one job in the order of their positions, as far as they are stored. Positions and contents never
 * change: chunks are only ever created, each under the next number, so two nodes that both believe to run the job
 * cannot both store a chunk of the same number.
 */
class ResultLog(val total: Int) {
    private val stored = ArrayList<ItemResult>()
    private val ids = HashSet<String>()

    /** The number of the next chunk. */
    var nextChunkNumber: Int = 0
        private set

    val size: Int get() = stored.size

    val isComplete: Boolean get() = stored.size >= total

    fun contains(item: String): Boolean = item in ids

    fun resultsFrom(position: Int): List<ItemResult> =
        if (position >= stored.size) emptyList() else stored.subList(position.coerceAtLeast(0), stored.size).toList()

    /** The chunk that stores [results] next, without those that have a position already. */
    fun nextChunk(results: List<ItemResult>): ResultChunk =
        ResultChunk(first = stored.size, results = results.filter { it.id !in ids })

    /**
     * Adds the stored chunk with this [number] unless it has been added before; several readers may have read it at the
     * same time. Results that have a position already keep that position only.
     */
    fun add(number: Int, chunk: ResultChunk) {
        if (number != nextChunkNumber) return
        nextChunkNumber++
        for (result in chunk.results) if (ids.add(result.id)) stored += result
    }
}
