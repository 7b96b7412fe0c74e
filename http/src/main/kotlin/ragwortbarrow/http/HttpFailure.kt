package ragwortbarrow.http

/**
 * A failed call to another server. After [ConnectFailed] no byte of the request was sent, so it is safe to retry; after
 * [Broken] the server may have processed the request.
 */
sealed class HttpFailure(message: String) : Exception(message, null, false, false) {
    class ConnectFailed(message: String) : HttpFailure(message)

    class Broken(message: String) : HttpFailure(message)
}
