package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.respondText
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.HttpHeader
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.Model
import ragwortbarrow.core.routing.CallTarget
import ragwortbarrow.core.routing.OnlineCall

/** Chat completions and completions, whole or streamed. */
internal suspend fun ServedCall.serveModelCall(): Result<Unit, ServingError> {
    val (grant, configuration, customer) = authenticatedCaller().getOrElse { return Err(it) }
    val body = call.readBody(bodyLimitBytes(configuration)).getOrElse { return Err(it) }
    val request = ModelRequest.parse(body).getOrElse { return Err(it) }
    val model = modelFor(customer, request.model, configuration).getOrElse { return Err(it) }
    parts.limiter.admit(customer.id).getOrElse { return Err(it) }
    val online = OnlineCall(
        customer = customer.id,
        target = CallTarget.ModelTarget(model.id),
        request = BackendRequest(
            requestId = requestId,
            method = call.request.httpMethod.value,
            pathAndQuery = call.request.path(),
            headers = listOf(HttpHeader(HttpHeaders.ContentType, ContentType.Application.Json.toString())),
            body = body,
            timeoutMillis = parts.requestTimeoutMillis,
        ),
        repeatable = true,
        estimatedTokens = request.estimatedTokens(model.maxTokens),
        prefix = request.prefix,
    )
    return if (request.stream) serveStream(online, grant) else serveWhole(online)
}

/** Who calls, by the configuration that the whole call uses. */
private data class Caller(val grant: KeyGrant, val configuration: ConfigurationSnapshot, val customer: Customer)

private fun ServedCall.authenticatedCaller(): Result<Caller, ServingError> {
    val grant = authenticate().getOrElse { return Err(it) }
    val configuration = configuration().getOrElse { return Err(it) }
    return customerOf(grant, configuration).map { Caller(grant, configuration, it) }
}

internal suspend fun ServedCall.serveWhole(online: OnlineCall): Result<Unit, ServingError> =
    parts.online.execute(online).map { call.respondAnswer(it) }

/** The models that the caller's customer may use. */
internal suspend fun ServedCall.serveModels(): Result<Unit, ServingError> {
    val (grant, configuration, customer) = authenticatedCaller().getOrElse { return Err(it) }
    val body = buildJsonObject {
        put("object", "list")
        putJsonArray("data") {
            configuration.manifest.models.filter { customer.mayUse(it.id) }.forEach { model ->
                addJsonObject {
                    put("id", model.id)
                    put("object", "model")
                    put("created", 0)
                    put("owned_by", configuration.manifest.name)
                }
            }
        }
    }
    call.respondText(body.toString(), ContentType.Application.Json)
    return Ok(Unit)
}

private fun modelFor(
    customer: Customer,
    name: String,
    configuration: ConfigurationSnapshot,
): Result<Model, ServingError> {
    val model = configuration.manifest.models.firstOrNull { it.id == name }
        ?: return Err(ServingError.InvalidRequest(ResultCode.UNKNOWN_MODEL, "there is no model '$name'"))
    if (customer.mayUse(name)) return Ok(model)
    val message = "customer '${customer.id}' may not use model '$name'"
    return Err(ServingError.NotAuthorized(ResultCode.KEY_OF_OTHER_CUSTOMER, message))
}

private fun Customer.mayUse(model: String): Boolean = models.isEmpty() || model in models
