package ragwortbarrow.core.allowance

/** Requests of one customer. */
data class CustomerUsage(
    /** Admitted in the window of the customer's rate. */
    val admitted: Int = 0,
    /** Offered in the last half second, admitted or not. */
    val offered: Int = 0,
) {
    operator fun plus(other: CustomerUsage) = CustomerUsage(admitted + other.admitted, offered + other.offered)
}
