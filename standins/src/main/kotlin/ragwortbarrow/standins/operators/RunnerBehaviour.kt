package ragwortbarrow.standins.operators

/** A request that a runner received. */
class RunnerRequest(
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: String,
    val atNanos: Long = System.nanoTime(),
) {
    fun header(name: String): String? = headers[name.lowercase()]
}

/** How a runner responds to a request. */
sealed interface RunnerBehaviour {
    /** A complete response on a connection that stays open, so that the response can be sent again. */
    sealed interface Repeatable : RunnerBehaviour

    /** A complete response with this body. */
    data class Plain(val body: String, val status: Int = 200) : Repeatable

    /** A complete response after [delayMillis]. */
    data class Slow(val body: String, val delayMillis: Long) : Repeatable

    /**
     * A stream of [events] events, [gapMillis] apart, that begins after [delayMillis]; if [breakAfter] is set, the
     * connection breaks after that many events. If [silentAfter] is set, nothing is sent for [silenceMillis] after that
     * many events. With [ignoresResume] it begins at the first event in any case. [padding] follows the text of each
     * event.
     */
    data class Stream(
        val events: Int,
        val gapMillis: Long = 1,
        val breakAfter: Int? = null,
        val delayMillis: Long = 0,
        val silentAfter: Int? = null,
        val silenceMillis: Long = 0,
        val ignoresResume: Boolean = false,
        val padding: String = "",
    ) : Repeatable

    /** Selects a behaviour for each request. */
    class Chosen(val choose: (RunnerRequest) -> RunnerBehaviour) : RunnerBehaviour

    /** Rejects the request without executing it. */
    data object Full : Repeatable

    /** Responds as [first], and then sends [copy] of that response. */
    data class Repeated(val first: Repeatable, val copy: SecondCopy = SecondCopy()) : RunnerBehaviour

    /** Closes the connection without a response. */
    data object NoResponse : RunnerBehaviour

    /** Sends a complete response to a different request first, then the correct one. */
    data class Crossed(val body: String) : RunnerBehaviour

    /** A stream of [events] events that then sends only comment bytes, one every [gapMillis], and never ends. */
    data class Stuck(val events: Int, val gapMillis: Long = 50) : RunnerBehaviour

    /** A stream whose events, of 8 KB each, only end when the client closes or [limitBytes] have been sent. */
    data class Endless(val limitBytes: Long = 64L * 1024 * 1024) : RunnerBehaviour

    /** A response with neither a length nor chunks, which ends with its connection: closed, or reset if [isReset]. */
    data class Unframed(
        val body: String,
        val contentType: String = "text/event-stream",
        val isReset: Boolean = false,
    ) : RunnerBehaviour

    /** A successful response without the `X-Server-Stamp` header. */
    data class Unstamped(val body: String) : RunnerBehaviour

    /** A response that is cut off within its body. */
    data class Truncated(val body: String) : RunnerBehaviour

    /** The first [sentBytes] of a complete response, after which the connection is closed. */
    data class CutOff(val body: String, val sentBytes: Int) : RunnerBehaviour

    /**
     * Closes all connections and refuses new ones for [outageMillis], as a process that ends and starts again.
     * [delayMillis] is the time until the response would have begun.
     */
    data class Crash(val outageMillis: Long, val delayMillis: Long = 0) : RunnerBehaviour
}
