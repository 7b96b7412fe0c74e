package ragwortbarrow.standins.link

/** What happens to the bytes of a [LoopbackLink]. */
sealed interface LinkFault {
    /** Bytes pass as they come. */
    data object None : LinkFault

    /** Open connections are reset, and so are new ones. */
    data object Reset : LinkFault

    /** Bytes wait in both directions, and new connections open without any answer. */
    data object StallBoth : LinkFault {
        override fun toString(): String = "Silent"
    }

    /** Bytes to the target pass, those from it wait. */
    data object StallFromTarget : LinkFault {
        override fun toString(): String = "Deaf"
    }

    /** Bytes from the target pass, those to it wait. */
    data object StallToTarget : LinkFault {
        override fun toString(): String = "Mute"
    }

    /** Each piece of bytes waits for [millis]. */
    data class Delay(val millis: Long) : LinkFault
}
