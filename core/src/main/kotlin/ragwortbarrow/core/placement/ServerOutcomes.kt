package ragwortbarrow.core.placement

/** The number of recent online requests that a backend server answered and failed. */
data class ServerOutcomes(val answered: Int = 0, val failed: Int = 0) {
    operator fun plus(other: ServerOutcomes) = ServerOutcomes(answered + other.answered, failed + other.failed)
}
