package ragwortbarrow.node.drain

import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis
import ragwortbarrow.core.time.pause
import java.util.concurrent.atomic.AtomicInteger

/**
 * Admits requests until the node drains. Draining has two phases: first the node only reports that it is not ready, so
 * that the load balancer stops sending requests; then it rejects new requests and waits for those in flight.
 */
class Drain(private val timer: TimerService) {
    @Volatile
    private var phase = Phase.SERVING
    private val activeRequests = AtomicInteger()

    val isDraining: Boolean get() = phase != Phase.SERVING
    val inFlight: Int get() = activeRequests.get()

    /** Registers a request as in flight; returns false if it must be rejected. */
    fun tryEnter(): Boolean {
        activeRequests.incrementAndGet()
        if (phase != Phase.REFUSING) return true
        activeRequests.decrementAndGet()
        return false
    }

    /** Unregisters a request that [tryEnter] admitted. */
    fun exit() {
        activeRequests.decrementAndGet()
    }

    /**
     * Reports not ready, rejects new requests after [delayMillis] and then waits up to [limitMillis] for those in
     * flight. Returns whether all of them have finished.
     */
    suspend fun run(delayMillis: Long, limitMillis: Long): Boolean {
        phase = Phase.NOT_READY
        timer.pause(delayMillis)
        phase = Phase.REFUSING
        val deadlineMillis = timer.monotonicMillis() + limitMillis
        while (inFlight > 0 && timer.monotonicMillis() < deadlineMillis) timer.pause(POLL_MILLIS)
        return inFlight == 0
    }

    private enum class Phase { SERVING, NOT_READY, REFUSING }

    private companion object {
        const val POLL_MILLIS = 10L
    }
}
