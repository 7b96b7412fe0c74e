package ragwortbarrow.core.batch

import ragwortbarrow.core.manifest.BackendServer

/** A backend server with the batch items that this node runs on it, in the order of their start. */
internal class ServerState(var server: BackendServer, private val settings: BatchSettings) {
    val running = ArrayList<RunningItem>()

    /** The item that this server is kept free for. */
    var reservedFor: Pair<HeldChunk, Int>? = null

    /** Whether this node is the server's dispatcher. */
    var mine = false
    private var pausedUntilMillis = Long.MIN_VALUE
    private var pauseMillis = settings.serverPauseMillis

    fun isUsable(nowMillis: Long): Boolean = mine && !server.leaving && nowMillis >= pausedUntilMillis

    fun succeeded() {
        pauseMillis = settings.serverPauseMillis
    }

    /** Leaves the server alone for a pause that grows with each failure in a row. */
    fun failed(nowMillis: Long) {
        if (nowMillis < pausedUntilMillis) return
        pausedUntilMillis = nowMillis + pauseMillis
        pauseMillis = (pauseMillis * 2).coerceAtMost(settings.serverPauseMaxMillis)
    }
}
