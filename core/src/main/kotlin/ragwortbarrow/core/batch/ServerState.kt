package ragwortbarrow.core.batch

import ragwortbarrow.core.manifest.BackendServer

/** A backend server and the batch items that this node runs on it, oldest first. */
internal class ServerState(var server: BackendServer, private val settings: BatchSettings) {
    val running = ArrayList<RunningItem>()

    /** The chunk and item that this server is kept free for; the item has to run alone. */
    var reservedFor: Pair<ChunkExecution, Int>? = null

    /** Whether this node is the server's dispatcher. */
    var isDispatchedHere = false
    private var backoffUntilMillis = Long.MIN_VALUE
    private var backoffMillis = settings.initialServerBackoffMillis

    fun isAvailable(nowMillis: Long): Boolean = isDispatchedHere && !server.leaving && nowMillis >= backoffUntilMillis

    fun recordSuccess() {
        backoffMillis = settings.initialServerBackoffMillis
    }

    /** Makes the server unavailable for a backoff that doubles with each consecutive failure. */
    fun recordFailure(nowMillis: Long) {
        if (nowMillis < backoffUntilMillis) return
        backoffUntilMillis = nowMillis + backoffMillis
        backoffMillis = (backoffMillis * 2).coerceAtMost(settings.maxServerBackoffMillis)
    }
}
