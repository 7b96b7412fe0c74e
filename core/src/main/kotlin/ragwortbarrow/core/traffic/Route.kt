package ragwortbarrow.core.traffic

import ragwortbarrow.core.ids.CustomerId

/** What may be done with the requests of a route. */
enum class RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,

    /** A request runs at most once. */
    NON_IDEMPOTENT,

    /** The answer is a series of events; it runs at most once unless the route is resumable. */
    STREAMING,

    /** Requests hand in batch jobs. */
    BATCH,
}

/** A service and its share of a route's requests. */
data class WeightedService(val service: String, val weight: Double)

/** One route of the configuration. */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val services: List<WeightedService>,
    val timeoutMillis: Long,
    /** The time within which an answer, or the first event of a stream, has its full value. */
    val targetLatencyMillis: Long,
    /** Backend servers that may run one request. */
    val maxAttempts: Int = 1,
    /** 0 is the most urgent. */
    val priority: Int = 0,
    /** Whether requests need no key. */
    val isPublic: Boolean = false,
    val isResumable: Boolean = false,
    /** For batch routes: how long after its submission a job is due. */
    val completionTargetMillis: Long = 0,
    /** For batch routes: how long after its submission an item may be given up. */
    val maxWaitMillis: Long = 0,
) {
    /** Whether a request may be sent again after it may have run. */
    val isIdempotent: Boolean get() = kind == RouteKind.IDEMPOTENT

    /** The service for a request, by weight; [draw] is uniform in 0 until 1. */
    fun service(draw: Double): String {
        val total = services.sumOf { it.weight }
        var left = draw * total
        for (entry in services) {
            left -= entry.weight
            if (left < 0) return entry.service
        }
        return services.last().service
    }
}

/** A customer with its keys and its rate over all VMs. A rate of 0 means no limit. */
data class CustomerAccount(
    val id: CustomerId,
    val keys: Set<String>,
    val ratePerSecond: Double = 0.0,
    val burst: Double = 0.0,
    /** Goes before the priority of a route; null without one. */
    val priority: Int? = null,
)

/** What a caller may send, and how long its connection may stay idle. */
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)
