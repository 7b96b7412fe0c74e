package ragwortbarrow.standins.faults

import kotlinx.serialization.Serializable

/**
 * Faults that a test backend server injects. They apply to the next [requests] requests; event indexes start at 0.
 * Stream faults have no effect on plain services.
 */
@Serializable
data class ServerFaults(
    val requests: Int = Int.MAX_VALUE,
    /** Delays each response. */
    val delayMillis: Long = 0,
    /** Rejects requests with 503 and `X-Execution: not-run`. */
    val refuseNotRun: Boolean = false,
    /** Answers each request with the response to the previous one. */
    val crossAnswers: Boolean = false,
    /** Omits the `X-Request-Id` response header. */
    val dropRequestId: Boolean = false,
    /** Executes the request and closes the connection without a response. */
    val loseReply: Boolean = false,
    /** Closes the connection in the middle of the body of a response that is not streamed. */
    val truncateBody: Boolean = false,
    /** Sends every event of a stream twice. */
    val duplicateEvents: Boolean = false,
    /** Omits the stream event with this index. */
    val skipEvent: Int? = null,
    /** Closes the connection of a stream abruptly after this many events. */
    val cutStreamAfterEvents: Int? = null,
    /** Ends a stream cleanly after this many events, without `[DONE]`. */
    val truncateStreamAfterEvents: Int? = null,
    /** Crashes the server after this many stream events. */
    val crashAfterEvents: Int? = null,
    /** Responds with 404 to every request to resume a stream. */
    val forgetStreams: Boolean = false,
    /** Responds with 500 if the prompt or body contains this word. */
    val failWord: String? = null,
    /** Crashes the server if the prompt or body contains this word. */
    val crashWord: String? = null,
)
