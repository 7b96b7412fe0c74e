package ragwortbarrow.standins.faults

import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Counts the executions of each request, so that tests can check at-most-once execution. */
class RunRecord {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val authorization = AtomicBoolean()

    fun recordRun(requestId: String) {
        runs.computeIfAbsent(requestId) { AtomicInteger() }.incrementAndGet()
    }

    /** Records whether a request carried an `Authorization` header. */
    fun recordAuthorization(authorizationPresent: Boolean) {
        if (authorizationPresent) authorization.set(true)
    }

    fun runsOf(requestId: String): Int = runs[requestId]?.get() ?: 0

    fun report(): RunReport = RunReport(runs.mapValues { it.value.get() }, authorization.get())
}

/** The response body of `GET /dev/runs`. */
@Serializable
data class RunReport(val runs: Map<String, Int>, val authorizationSeen: Boolean)
