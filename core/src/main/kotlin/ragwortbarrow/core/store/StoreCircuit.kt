package ragwortbarrow.core.store

import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import kotlin.random.Random

/**
 * Decides which calls to the platform's store are made. After [FAILURE_THRESHOLD] consecutive calls that the store did
 * not serve, one call at a time is made as a probe and the others fail immediately, until a call is served. The pauses
 * between probes grow to [MAX_PAUSE_MILLIS] and are random, since all nodes notice an outage at the same time.
 *
 * It answers the load of an outage, in which each waiting write of each node would be sent again several times a
 * second.
 */
class StoreCircuit(
    private val timer: TimerService,
    private val random: Random = Random.Default,
    private val log: DecisionLog = DecisionLog.NONE,
) {
    private var consecutiveFailures = 0
    private var skippedCalls = 0
    private var isProbing = false
    private var nextProbeMillis = Long.MIN_VALUE

    val isOpen: Boolean get() = consecutiveFailures >= FAILURE_THRESHOLD

    /** Whether a call may be made now; each permitted call ends with one of the functions below. */
    fun tryCall(): Boolean {
        if (!isOpen) return true
        if (isProbing || timer.monotonicMillis() < nextProbeMillis) {
            skippedCalls++
            return false
        }
        isProbing = true
        return true
    }

    /** Records that the store has served a call, with whatever result. */
    fun recordServed() {
        if (isOpen) log.record("store_calls_resumed", "failures" to consecutiveFailures, "skipped" to skippedCalls)
        consecutiveFailures = 0
        skippedCalls = 0
        isProbing = false
    }

    /** Records that the store has refused a call or not answered it. */
    fun recordFailure(reason: String) {
        isProbing = false
        consecutiveFailures++
        if (!isOpen) return
        val doublings = (consecutiveFailures - FAILURE_THRESHOLD).coerceAtMost(MAX_DOUBLINGS)
        val pauseMillis = minOf(MIN_PAUSE_MILLIS shl doublings, MAX_PAUSE_MILLIS)
        nextProbeMillis = timer.monotonicMillis() + pauseMillis / 2 + random.nextLong(pauseMillis / 2 + 1)
        if (consecutiveFailures == FAILURE_THRESHOLD) log.record("store_calls_paused", "reason" to reason)
    }

    /** Records that a call ended without a result, because its caller no longer needs it. */
    fun recordCancelled() {
        isProbing = false
    }

    companion object {
        /** Single answers may be lost while the store serves the other calls. */
        const val FAILURE_THRESHOLD = 3

        const val MIN_PAUSE_MILLIS = 250L

        /** Shorter than the time within which changes must take effect after an outage. */
        const val MAX_PAUSE_MILLIS = 1_000L

        private const val MAX_DOUBLINGS = 2
    }
}
