package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.uri
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.manifest.Access
import ragwortbarrow.core.manifest.Service
import ragwortbarrow.core.routing.CallTarget
import ragwortbarrow.core.routing.OnlineCall

/** Plain services by path prefix; the path, the query and the body are passed on unchanged. */
internal suspend fun ServedCall.serveServiceCall(): Result<Unit, ServingError> {
    val configuration = configuration().getOrElse { return Err(it) }
    val path = call.request.path()
    val service = configuration.findService(path)
        ?: return Err(ServingError.InvalidRequest(ResultCode.UNKNOWN_ROUTE, "there is no route for '$path'"))
    val customer = when (service.access) {
        Access.OPEN -> null
        Access.KEY -> admittedTo(service, configuration).getOrElse { return Err(it) }
    }
    val body = call.readBody(bodyLimitBytes(configuration)).getOrElse { return Err(it) }
    if (customer != null) parts.limiter.admit(customer).getOrElse { return Err(it) }
    return serveWhole(
        OnlineCall(
            customer = customer,
            target = CallTarget.ServiceTarget(service.id),
            request = BackendRequest(
                requestId = requestId,
                method = call.request.httpMethod.value,
                pathAndQuery = call.request.uri,
                headers = call.forwardedHeaders(),
                body = body,
                timeoutMillis = parts.requestTimeoutMillis,
            ),
            repeatable = service.repeatable || isRepeatable(),
        ),
    )
}

private fun ServedCall.admittedTo(
    service: Service,
    configuration: ConfigurationSnapshot,
): Result<CustomerId, ServingError> {
    val grant = authenticate().getOrElse { return Err(it) }
    val customer = customerOf(grant, configuration).getOrElse { return Err(it) }
    if (service.customers.isEmpty() || customer.id in service.customers) {
        return Ok(customer.id)
    }
    val message = "customer '${customer.id}' may not use service '${service.id}'"
    return Err(ServingError.NotAuthorized(ResultCode.KEY_OF_OTHER_CUSTOMER, message))
}

private fun ServedCall.isRepeatable(): Boolean =
    call.request.httpMethod.value in REPEATABLE_METHODS || call.request.headers["Idempotency-Key"] != null

private val REPEATABLE_METHODS = setOf("GET", "HEAD", "OPTIONS")
