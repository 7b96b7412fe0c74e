package ragwortbarrow.core.routing

import ragwortbarrow.core.ids.CustomerId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the retries of each customer: over any stretch of time at most [percentOfRequests] percent of its requests
 * plus [burst]. Requests on routes open to everyone share one budget.
 */
class RetryBudget(private val percentOfRequests: Int = 10, private val burst: Int = 10) {
    // Hundredths of a retry, so that a percentage is added without rounding.
    private val levels = ConcurrentHashMap<String, AtomicLong>()

    /** Adds to the budget for one new request. */
    fun onRequest(customer: CustomerId?) {
        val limit = burst * HUNDREDTHS
        levelOf(customer).updateAndGet { minOf(limit, it + percentOfRequests) }
    }

    /** Takes one retry out of the budget, or returns false if it is spent. */
    fun tryRetry(customer: CustomerId?): Boolean {
        val level = levelOf(customer)
        while (true) {
            val seen = level.get()
            if (seen < HUNDREDTHS) return false
            if (level.compareAndSet(seen, seen - HUNDREDTHS)) return true
        }
    }

    /** Forgets customers outside [customers]; a customer that returns starts with a full budget. */
    fun retainAll(customers: Set<CustomerId>) {
        levels.keys.removeIf { it != OPEN_ROUTES && CustomerId(it) !in customers }
    }

    private fun levelOf(customer: CustomerId?): AtomicLong =
        levels.computeIfAbsent(customer?.value ?: OPEN_ROUTES) { AtomicLong(burst * HUNDREDTHS) }

    private companion object {
        const val HUNDREDTHS = 100L
        const val OPEN_ROUTES = ""
    }
}
