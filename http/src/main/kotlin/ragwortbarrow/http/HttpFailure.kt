package ragwortbarrow.http

/**
 * Why a call to another server failed. The cases differ in what the caller may conclude: after [ConnectFailed] no byte
 * of the request has left this process, after [Broken] the server may have acted on it.
 */
sealed class HttpFailure(message: String) : Exception(message, null, false, false) {
    class ConnectFailed(message: String) : HttpFailure(message)

    class Broken(message: String) : HttpFailure(message)
}
