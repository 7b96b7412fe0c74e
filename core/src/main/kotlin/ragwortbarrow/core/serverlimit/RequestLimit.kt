package ragwortbarrow.core.serverlimit

/** What a response of a backend server says about the requests that it takes from all nodes together. */
sealed interface RequestLimit {
    /** The server names no limit. */
    data object None : RequestLimit

    /** The server takes [requestsPerSecond], which is finite and not negative. */
    data class PerSecond(val requestsPerSecond: Double) : RequestLimit

    /** The server names a limit that is not a finite number of zero or more; treated like [None]. */
    data object Unreadable : RequestLimit
}
