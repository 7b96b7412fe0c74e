package ragwortbarrow.standins.link

/**
 * Network faults that a [LoopbackLink] can inject. The soak log prints them by [toString], where the stall faults keep
 * the names Silent, Deaf and Mute.
 */
sealed interface LinkFault {
    /** Forwards all bytes without delay. */
    data object None : LinkFault

    /** Resets open connections and all new ones. */
    data object Reset : LinkFault

    /** Holds bytes back in both directions; new connections are accepted but get no response. */
    data object StallBoth : LinkFault {
        override fun toString(): String = "Silent"
    }

    /** Holds back bytes from the target; bytes to it pass. */
    data object StallFromTarget : LinkFault {
        override fun toString(): String = "Deaf"
    }

    /** Holds back bytes to the target; bytes from it pass. */
    data object StallToTarget : LinkFault {
        override fun toString(): String = "Mute"
    }

    /** Delays each chunk of bytes by [millis]. */
    data class Delay(val millis: Long) : LinkFault
}
