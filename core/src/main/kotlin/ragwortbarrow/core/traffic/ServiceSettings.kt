package ragwortbarrow.core.traffic

/** What the configuration says of the backend servers of a service. */
data class ServiceSettings(
    val name: String,
    /** The time for which a server that has just started is cold; 0 if the service has no cold servers. */
    val coldStartMillis: Long = 0,
    /** Requests that a cold server takes from all nodes together; 0 if cold servers take any number. */
    val coldRequestsPerSecond: Double = 0.0,
    /** Memory of a server for the prompts and outputs of its requests; null if the service names none. */
    val memoryTokens: Long? = null,
)
