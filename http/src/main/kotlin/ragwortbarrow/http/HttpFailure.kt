package ragwortbarrow.http

/**
 * A failed call to another server. After [ConnectFailed] no byte of the request was sent, so it is safe to retry; after
 * [Broken] the server may have processed the request.
 */
sealed class HttpFailure(message: String) : Exception(message, null, false, false) {
    /** [isRefused]: the server's machine answered that nothing listens at the address. */
    class ConnectFailed(message: String, val isRefused: Boolean = false) : HttpFailure(message)

    open class Broken(message: String) : HttpFailure(message)

    /** The server closed or reset the connection. */
    class Disconnected(message: String) : Broken(message)
}
