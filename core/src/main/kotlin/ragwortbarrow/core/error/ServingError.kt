package ragwortbarrow.core.error

/**
 * The base class of all errors of the system. Each error has a numbered [code], a human-readable [message], and what is
 * known about the execution of the request.
 */
sealed class ServingError(
    val code: ResultCode,
    val message: String,
    val execution: Execution = Execution.NOT_RUN,
    val retryAfterMillis: Long? = null,
) {
    /** The request is invalid. */
    class InvalidRequest(code: ResultCode, message: String) : ServingError(code, message)

    /** The API key is missing, unknown, withdrawn, or belongs to another customer. */
    class NotAuthorized(code: ResultCode, message: String) : ServingError(code, message)

    /** The customer exceeds its rate limit, or the limit cannot be checked. */
    class Limited(code: ResultCode, message: String, retryAfterMillis: Long?) :
        ServingError(code, message, retryAfterMillis = retryAfterMillis)

    /** The request cannot be served now, and was not run. */
    class Unavailable(code: ResultCode, message: String, retryAfterMillis: Long? = null) :
        ServingError(code, message, retryAfterMillis = retryAfterMillis)

    /** A backend server failed, possibly after it had received the request. */
    class BackendFailed(code: ResultCode, message: String, execution: Execution) :
        ServingError(code, message, execution)

    /** A call to the platform's object API failed. */
    class PlatformFailed(code: ResultCode, message: String, execution: Execution = Execution.NOT_RUN) :
        ServingError(code, message, execution, retryAfterMillis = 1_000L)

    override fun toString(): String = "${code.number} ${code.name}: $message"
}
