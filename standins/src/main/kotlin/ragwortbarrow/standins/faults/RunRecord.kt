package ragwortbarrow.standins.faults

import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Counts how often each request was run, so that a test can prove that it ran at most once. */
class RunRecord {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val authorization = AtomicBoolean()

    fun ran(requestId: String) {
        runs.computeIfAbsent(requestId) { AtomicInteger() }.incrementAndGet()
    }

    /** Notes whether a request carried an `Authorization` header. */
    fun sawHeaders(authorizationPresent: Boolean) {
        if (authorizationPresent) authorization.set(true)
    }

    fun runsOf(requestId: String): Int = runs[requestId]?.get() ?: 0

    fun report(): RunReport = RunReport(runs.mapValues { it.value.get() }, authorization.get())
}

/** What `/dev/runs` answers. */
@Serializable
data class RunReport(val runs: Map<String, Int>, val authorizationSeen: Boolean)
