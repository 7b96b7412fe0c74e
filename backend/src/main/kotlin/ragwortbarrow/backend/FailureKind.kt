package ragwortbarrow.backend

import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpRequestTimeoutException
import ragwortbarrow.core.backend.AttemptOutcome
import java.net.ConnectException
import java.net.SocketTimeoutException
import java.nio.channels.UnresolvedAddressException

/** Classifies the failure of an attempt by whether the request may have been executed. */
internal enum class FailureKind {
    /** No connection was established, so no byte of the request was sent. */
    NOT_CONNECTED,
    TIMED_OUT,
    BROKEN,
    ;

    fun toOutcome(failure: Throwable): AttemptOutcome {
        val reason = failure.message ?: failure.javaClass.simpleName
        return when (this) {
            NOT_CONNECTED -> AttemptOutcome.NotRun(reason)
            TIMED_OUT -> AttemptOutcome.Unknown(reason, timedOut = true)
            BROKEN -> AttemptOutcome.Unknown(reason)
        }
    }

    companion object {
        // In some versions of Ktor ConnectTimeoutException is a SocketTimeoutException, so it has to be tested first.
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
