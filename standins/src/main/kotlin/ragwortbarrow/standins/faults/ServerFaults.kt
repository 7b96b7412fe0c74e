package ragwortbarrow.standins.faults

import kotlinx.serialization.Serializable

/**
 * Fault switches of a stand-in of a backend server. They concern the next [requests] requests; counts of events start
 * at 0. Switches that speak of streams have no effect on plain services.
 */
@Serializable
data class ServerFaults(
    val requests: Int = Int.MAX_VALUE,
    /** Holds each answer back. */
    val delayMillis: Long = 0,
    /** Refuses with 503 and `X-Execution: not-run`. */
    val refuseNotRun: Boolean = false,
    /** Gives each request the answer of the request before it. */
    val crossAnswers: Boolean = false,
    /** Leaves out the echo of `X-Request-Id`. */
    val dropRequestId: Boolean = false,
    /** Runs the request and cuts the connection instead of answering. */
    val loseReply: Boolean = false,
    /** Cuts the connection in the middle of a whole answer. */
    val truncateBody: Boolean = false,
    /** Sends every event of a stream twice. */
    val duplicateEvents: Boolean = false,
    /** Leaves out this event of a stream. */
    val skipEvent: Int? = null,
    /** Cuts the connection of a stream after this many events. */
    val cutStreamAfterEvents: Int? = null,
    /** Ends a stream regularly after this many events, without `[DONE]`. */
    val truncateStreamAfterEvents: Int? = null,
    /** Crashes the whole server after this many events of a stream. */
    val crashAfterEvents: Int? = null,
    /** Answers every resume with 404. */
    val forgetStreams: Boolean = false,
    /** Answers 500 to a prompt or body that contains this word. */
    val failWord: String? = null,
    /** Crashes the whole server on a prompt or body that contains this word. */
    val crashWord: String? = null,
)
