package ragwortbarrow.objectapi

/**
 * Timeouts, retries and concurrency limits for calls to the platform. A read makes at most [readAttempts] attempts of
 * up to [attemptTimeoutMillis] each; the client never retries writes. After [failureThreshold] consecutive failures the
 * circuit breaker rejects calls for [resetTimeoutMillis], which doubles up to [maxResetTimeoutMillis] while the
 * platform stays down.
 */
data class CallBudget(
    val attemptTimeoutMillis: Long = 2_000,
    val connectTimeoutMillis: Long = 500,
    val readAttempts: Int = 3,
    val initialBackoffMillis: Long = 50,
    val maxCallsInFlight: Int = 64,
    val failureThreshold: Int = 5,
    val resetTimeoutMillis: Long = 250,
    val maxResetTimeoutMillis: Long = 2_000,
    /** The platform sends a bookmark every second, so a watch without any event for this long is dead. */
    val watchIdleTimeoutMillis: Long = 5_000,
)
