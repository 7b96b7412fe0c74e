package ragwortbarrow.core.placement

/** How a backend server ended requests of the last seconds. */
data class ServerOutcomes(val answered: Int = 0, val failed: Int = 0) {
    operator fun plus(other: ServerOutcomes) = ServerOutcomes(answered + other.answered, failed + other.failed)
}
