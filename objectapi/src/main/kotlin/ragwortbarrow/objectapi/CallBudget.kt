package ragwortbarrow.objectapi

/**
 * What the client may spend on the platform. A read takes at most [readAttempts] attempts, each with the deadline;
 * writes are never repeated by the client. After [failuresToOpen] failures in a row the circuit breaker refuses calls
 * for [openMillis], which doubles up to [maxOpenMillis] while the platform stays down.
 */
data class CallBudget(
    val deadlineMillis: Long = 2_000,
    val connectMillis: Long = 500,
    val readAttempts: Int = 3,
    val backoffMillis: Long = 50,
    val maxCallsInFlight: Int = 64,
    val failuresToOpen: Int = 5,
    val openMillis: Long = 250,
    val maxOpenMillis: Long = 2_000,
    /** The platform sends a bookmark every second, so a longer silence means that the watch is dead. */
    val watchSilenceMillis: Long = 5_000,
)
