package ragwortbarrow.core.routing

import ragwortbarrow.core.ids.CustomerId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the retries of each customer: over any period of time, at most [percentOfRequests] percent of its requests
 * plus [burst]. Requests on routes that need no key share one budget.
 */
class RetryBudget(private val percentOfRequests: Int = 10, private val burst: Int = 10) {
    // In hundredths of a retry, so that a percentage can be added without rounding.
    private val levels = ConcurrentHashMap<String, AtomicLong>()

    /** Adds the share of one new request to the budget. */
    fun recordRequest(customer: CustomerId?) {
        val limit = burst * HUNDREDTHS
        levelOf(customer).updateAndGet { minOf(limit, it + percentOfRequests) }
    }

    /** Takes one retry from the budget, or returns false if the budget is spent. */
    fun tryAcquire(customer: CustomerId?): Boolean {
        val level = levelOf(customer)
        while (true) {
            val seen = level.get()
            if (seen < HUNDREDTHS) return false
            if (level.compareAndSet(seen, seen - HUNDREDTHS)) return true
        }
    }

    /** Removes customers that are not in [customers]; a customer that is added again starts with a full budget. */
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
