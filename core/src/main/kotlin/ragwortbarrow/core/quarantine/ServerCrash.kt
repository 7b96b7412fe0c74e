package ragwortbarrow.core.quarantine

import ragwortbarrow.core.ids.BackendServerId

/** One crash of a backend server, with the prompt parts of the requests that it had not begun to answer. */
internal class ServerCrash(val server: BackendServerId, val atMillis: Long) {
    private val requestIds = HashSet<String>()
    private val positions = HashMap<String, Int>()

    val parts: Set<String> get() = positions.keys

    /** The last position at which one of the requests has [part]. */
    fun position(part: String): Int = positions[part] ?: -1

    /** Adds a request; returns false if it was added before or there is no room for it. */
    fun add(requestId: String, sharedParts: List<String>): Boolean {
        if (requestIds.size >= MAX_REQUESTS || positions.size + sharedParts.size > MAX_PARTS) return false
        if (!requestIds.add(requestId)) return false
        sharedParts.forEachIndexed { position, part -> positions.merge(part, position, ::maxOf) }
        return true
    }

    private companion object {
        const val MAX_REQUESTS = 64
        const val MAX_PARTS = 128
    }
}
