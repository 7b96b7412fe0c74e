package ragwortbarrow.entry

/** Timeouts for the head of a response. */
class ResponseHeadTimeouts(
    /** After this time the attempt fails. */
    val timeoutMillis: Long = Long.MAX_VALUE,
    /** After this time the request is abandoned if [mayAbandon] allows it. */
    val abandonAfterMillis: Long = Long.MAX_VALUE,
    val mayAbandon: () -> Boolean = { false },
)

/** The request was abandoned before its response began; the server has probably not run it, but may have. */
internal class LeftQueue(val afterMillis: Long) : Exception("no response had begun after $afterMillis ms")
