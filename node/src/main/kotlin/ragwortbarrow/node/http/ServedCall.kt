package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.toResultOr
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.utils.io.ClosedWriteChannelException
import kotlinx.coroutines.CancellationException
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.log.record
import ragwortbarrow.core.manifest.Customer
import java.io.IOException
import java.util.UUID

/** Context of one request from a caller. */
internal class ServedCall(val call: ApplicationCall, val deps: CallerApiDependencies, private val route: String) {
    val requestId = RequestId(UUID.randomUUID().toString())
    val startNanos: Long = deps.timer.nanoTime()
    private var grant: KeyGrant? = null
    private var code: ResultCode? = null

    /** Runs [handle] unless the node is draining, responds with any error it returns, and records the outcome. */
    suspend fun serve(handle: suspend ServedCall.() -> Result<Unit, ServingError>) {
        call.response.header("X-Request-Id", requestId.value)
        if (deps.drain.isDraining) call.response.header(HttpHeaders.Connection, "close")
        if (!deps.drain.tryEnter()) {
            fail(ServingError.Unavailable(ResultCode.DRAINING, "this node is shutting down", DRAIN_RETRY_MILLIS))
            return recordCompletion()
        }
        try {
            handle().mapError { fail(it) }
        } catch (gone: IOException) {
            logCallerGone(gone)
        } catch (cancelled: CancellationException) {
            logCallerGone(cancelled)
            throw cancelled
        } catch (failure: Exception) {
            deps.log.record("request-fault", "request_id" to requestId, "exception" to failure.stackTraceToString())
            fail(ServingError.BackendFailed(ResultCode.INTERNAL, "internal fault", Execution.UNKNOWN))
        } finally {
            deps.drain.exit()
            recordCompletion()
        }
    }

    /** Returns the grant of the caller's key. */
    fun authenticate(): Result<KeyGrant, ServingError> =
        deps.keys.authenticate(call.bearerKey()).also { result -> grant = result.component1() }

    /** Returns the customer of [grant] as defined in [configuration]. */
    fun findCustomer(grant: KeyGrant, configuration: ConfigurationSnapshot): Result<Customer, ServingError> =
        configuration.customers[grant.customer].toResultOr {
            ServingError.NotAuthorized(
                ResultCode.KEY_OF_OTHER_CUSTOMER,
                "the configuration has no customer '${grant.customer}'",
            )
        }

    fun configuration(): Result<ConfigurationSnapshot, ServingError> = deps.configuration.current?.let { Ok(it) }
        ?: Err(ServingError.Unavailable(ResultCode.NO_CONFIGURATION, "no configuration is in force yet", 1_000))

    fun bodyLimitBytes(configuration: ConfigurationSnapshot): Long =
        (deps.bodyLimitBytes ?: configuration.manifest.fleet.bodyLimitBytes).toLong()

    /** Records an error for the metrics and the request log, whether or not it is sent as a response status. */
    fun recordError(error: ServingError) {
        code = error.code
        deps.metrics.countRefusal(error.code)
    }

    private suspend fun fail(error: ServingError) {
        recordError(error)
        if (!call.response.isCommitted) call.respondError(error)
    }

    private fun logCallerGone(cause: Exception) {
        if (cause is ClosedWriteChannelException || cause is IOException || cause is CancellationException) {
            deps.log.record("caller-gone", "request_id" to requestId, "route" to route)
        }
    }

    private fun recordCompletion() {
        val nanos = deps.timer.nanoTime() - startNanos
        val status = call.response.status()?.value ?: CLIENT_CLOSED_REQUEST_STATUS
        deps.metrics.recordRequest(route, status, nanos)
        deps.log.record(
            "request",
            "request_id" to requestId,
            "route" to route,
            "status" to status,
            "code" to code?.number,
            "customer" to grant?.customer,
            "key_id" to grant?.id,
            "duration_micros" to nanos / 1_000,
        )
    }

    private companion object {
        /** Status in logs and metrics for a caller that disconnected before the response, as popularized by nginx. */
        const val CLIENT_CLOSED_REQUEST_STATUS = 499
        const val DRAIN_RETRY_MILLIS = 1_000L
    }
}
