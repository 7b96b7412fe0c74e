package ragwortbarrow.core.placement

/**
 * The recent output of a backend server: the number of its events and the time that passed before each of them since
 * the one before. A response that is not a stream is one event.
 */
data class ServerTimings(val events: Int = 0, val eventMillis: Int = 0) {
    operator fun plus(other: ServerTimings) = ServerTimings(events + other.events, eventMillis + other.eventMillis)
}
