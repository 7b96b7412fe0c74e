package ragwortbarrow.backend

import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpRequestTimeoutException
import ragwortbarrow.core.backend.AttemptOutcome
import java.net.ConnectException
import java.net.SocketTimeoutException
import java.nio.channels.UnresolvedAddressException

/** What the failure of an attempt proves. */
internal enum class FailureKind {
    /** No connection came into being, so no byte of the request left. */
    NOT_CONNECTED,
    TIMED_OUT,
    BROKEN,
    ;

    fun outcome(failure: Throwable): AttemptOutcome {
        val reason = failure.message ?: failure.javaClass.simpleName
        return when (this) {
            NOT_CONNECTED -> AttemptOutcome.NotRun(reason)
            TIMED_OUT -> AttemptOutcome.Unknown(reason, timedOut = true)
            BROKEN -> AttemptOutcome.Unknown(reason)
        }
    }

    companion object {
        // ConnectTimeoutException is a SocketTimeoutException in some versions of Ktor, so it is looked for first.
        fun of(failure: Throwable): FailureKind {
            val causes = generateSequence(failure) { it.cause }.take(MAX_CAUSES).toList()
            return when {
                causes.any { it is ConnectTimeoutException || it is ConnectException } -> NOT_CONNECTED
                causes.any { it is UnresolvedAddressException } -> NOT_CONNECTED
                causes.any { it is HttpRequestTimeoutException || it is SocketTimeoutException } -> TIMED_OUT
                else -> BROKEN
            }
        }

        private const val MAX_CAUSES = 8
    }
}
