package ragwortbarrow.standins.link

/** What happens to the bytes of a [LoopbackLink]. */
sealed interface LinkFault {
    /** Bytes pass as they come. */
    data object None : LinkFault

    /** Open connections are reset, and so are new ones. */
    data object Reset : LinkFault

    /** Bytes wait in both directions, and new connections open without any answer. */
    data object StallBoth : LinkFault

    /** Bytes to the target pass, those from it wait. */
    data object StallFromTarget : LinkFault

    /** Bytes from the target pass, those to it wait. */
    data object StallToTarget : LinkFault

    /** Each piece of bytes waits for [millis]. */
    data class Delay(val millis: Long) : LinkFault
}
