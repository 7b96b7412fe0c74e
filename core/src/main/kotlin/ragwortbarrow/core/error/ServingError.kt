package ragwortbarrow.core.error

/**
 * The one error family of the system. Each case carries a numbered [code], a message for a person, and what is known
 * about the execution of the request.
 */
sealed class ServingError(
    val code: ResultCode,
    val message: String,
    val execution: Execution = Execution.NOT_RUN,
    val retryAfterMillis: Long? = null,
) {
    /** The request itself is at fault. */
    class InvalidRequest(code: ResultCode, message: String) : ServingError(code, message)

    /** The key is missing, unknown, withdrawn, or belongs to another customer. */
    class NotAuthorized(code: ResultCode, message: String) : ServingError(code, message)

    /** The customer is over its rate, or its account cannot be asked. */
    class Limited(code: ResultCode, message: String, retryAfterMillis: Long?) :
        ServingError(code, message, retryAfterMillis = retryAfterMillis)

    /** Nothing can serve the request now; it was not run. */
    class Unavailable(code: ResultCode, message: String, retryAfterMillis: Long? = null) :
        ServingError(code, message, retryAfterMillis = retryAfterMillis)

    /** A backend server failed after the request may have reached it. */
    class BackendFailed(code: ResultCode, message: String, execution: Execution) :
        ServingError(code, message, execution)

    /** The platform's object API failed. */
    class PlatformFailed(code: ResultCode, message: String, execution: Execution = Execution.NOT_RUN) :
        ServingError(code, message, execution, retryAfterMillis = 1_000L)

    override fun toString(): String = "${code.number} ${code.name}: $message"
}
