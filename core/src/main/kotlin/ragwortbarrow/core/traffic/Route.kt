package ragwortbarrow.core.traffic

import ragwortbarrow.core.ids.CustomerId

/** How the requests of a route may be executed. */
enum class RouteKind {
    /** A request may be run more than once. */
    IDEMPOTENT,

    /** A request is run at most once. */
    NON_IDEMPOTENT,

    /** The response is a stream of events. A request is run at most once unless the route is resumable. */
    STREAMING,

    /** Requests submit batch jobs. */
    BATCH,
}

/** A service and its share of a route's requests. */
data class WeightedService(val service: String, val weight: Double)

/** A route of the configuration. */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val services: List<WeightedService>,
    val timeoutMillis: Long,
    /** Target time for the response, or for the first event of a stream. */
    val targetLatencyMillis: Long,
    /** Maximum number of backend servers that may run the same request. */
    val maxAttempts: Int = 1,
    /** 0 is the highest priority. */
    val priority: Int = 0,
    /** Whether requests are accepted without an API key. */
    val isPublic: Boolean = false,
    val isResumable: Boolean = false,
    /** For batch routes: the time after its submission at which a job is due. */
    val completionTargetMillis: Long = 0,
    /** For batch routes: the time after its submission at which the remaining items of a job may be failed. */
    val maxWaitMillis: Long = 0,
    /** Regions whose backend servers may run the requests; empty if all may. Not enforced yet. */
    val homeRegions: Set<String> = emptySet(),
) {
    /** Whether a request may be resent after it may have run. */
    val isIdempotent: Boolean get() = kind == RouteKind.IDEMPOTENT

    /** Selects the service for a request by weight; [random] is uniformly distributed in `[0, 1)`. */
    fun service(random: Double): String {
        val total = services.sumOf { it.weight }
        var remaining = random * total
        for (entry in services) {
            remaining -= entry.weight
            if (remaining < 0) return entry.service
        }
        return services.last().service
    }
}

/** A customer with its API keys and its rate limit over all VMs. A rate of 0 means no limit. */
data class CustomerAccount(
    val id: CustomerId,
    val keys: Set<String>,
    val ratePerSecond: Double = 0.0,
    val burst: Double = 0.0,
    /** Overrides the priority of the route; null if the customer has none. */
    val priority: Int? = null,
    /** Like [Route.homeRegions]; where both name some, both bind. */
    val homeRegions: Set<String> = emptySet(),
)

/** Limits on the size of requests and on the time that a connection may take or stay idle. */
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)
