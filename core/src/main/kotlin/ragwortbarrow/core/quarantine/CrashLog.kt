package ragwortbarrow.core.quarantine

import ragwortbarrow.core.ids.BackendServerId
import kotlin.math.abs

/** The recent crashes of backend servers. The oldest one is dropped when there are more than [maxCrashes]. */
internal class CrashLog(private val maxCrashes: Int = 64) {
    private val crashes = ArrayDeque<ServerCrash>()

    val all: List<ServerCrash> get() = crashes

    val isEmpty: Boolean get() = crashes.isEmpty()

    /** Adds a request to the crash of its server at that time; returns that crash, or null if the request is known. */
    fun add(server: BackendServerId, requestId: String, sharedParts: List<String>, atMillis: Long): ServerCrash? {
        val crash = crashes.firstOrNull { it.server == server && abs(it.atMillis - atMillis) <= SAME_CRASH_MILLIS }
            ?: ServerCrash(server, atMillis).also {
                if (crashes.size >= maxCrashes) crashes.removeFirst()
                crashes += it
            }
        return crash.takeIf { it.add(requestId, sharedParts) }
    }

    fun removeBefore(millis: Long) {
        crashes.removeAll { it.atMillis < millis }
    }

    private companion object {
        /** Connections to a server that ended fail within this time; it takes longer to start again. */
        const val SAME_CRASH_MILLIS = 2_000L
    }
}
