package ragwortbarrow.http

/** Why a connection from a caller ended. */
enum class ConnectionCloseReason {
    CALLER,
    CONNECTION_FAILED,
    IDLE,

    /** The request did not arrive whole in time. */
    REQUEST_TIMEOUT,
    INVALID_REQUEST,

    /** The handler could not complete the response. */
    ANSWER_ABANDONED,
    SERVER_STOPPED,

    /** Its memory or its descriptor was needed for other callers. */
    REFUSED,
}

/** For lack of what a caller was refused whose own request is inside the limits. */
enum class CallerRefusal { MEMORY, CONNECTIONS }

/** A request that was read whole and whose connection ended without a complete response. */
data class UnansweredRequest(
    val request: HttpRequestMessage,
    val reason: ConnectionCloseReason,
    /** Whether a part of the response has been sent. */
    val isStarted: Boolean,
)
