package ragwortbarrow.core.allowance

/** The number of requests of one customer. */
data class CustomerUsage(
    /** Requests admitted in the window of the customer's rate limit. */
    val admitted: Int = 0,
    /** Requests received in the last half second, admitted or not. */
    val offered: Int = 0,
) {
    operator fun plus(other: CustomerUsage) = CustomerUsage(admitted + other.admitted, offered + other.offered)
}
