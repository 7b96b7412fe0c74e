package ragwortbarrow.core.batch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.manifest.Access
import ragwortbarrow.core.manifest.BackendServer

/** The model or service that processes the items of a job. */
internal sealed interface BatchTarget {
    val repeatable: Boolean

    fun servers(configuration: ConfigurationSnapshot): List<BackendServer>

    data class OfModel(val model: String) : BatchTarget {
        override val repeatable: Boolean get() = true

        override fun servers(configuration: ConfigurationSnapshot): List<BackendServer> =
            configuration.serversByModel[model].orEmpty()
    }

    data class OfService(val service: String, override val repeatable: Boolean) : BatchTarget {
        override fun servers(configuration: ConfigurationSnapshot): List<BackendServer> =
            configuration.serversByService[service].orEmpty()
    }

    companion object {
        private val MODEL_ENDPOINTS = setOf("/v1/chat/completions", "/v1/completions")

        /** Returns the target of a job, or null if the configuration no longer contains it. */
        fun of(job: JobRecord, configuration: ConfigurationSnapshot): BatchTarget? = when {
            job.model != null -> OfModel(job.model)
            else -> configuration.findService(job.endpoint)?.let { OfService(it.id, it.repeatable) }
        }

        /**
         * Validates a new job and returns its model, or null if its target is a service. Fails if the lines of [file]
         * do not fit the endpoint or [customer] may not use it.
         */
        fun validate(
            customer: CustomerId,
            endpoint: String,
            file: FileRecord,
            configuration: ConfigurationSnapshot,
        ): Result<String?, ServingError> = when {
            file.urls != listOf(endpoint) ->
                Err(invalid("every line must have the url $endpoint, but the file contains ${file.urls}"))
            endpoint in MODEL_ENDPOINTS -> validateModel(customer, file, configuration)
            else -> validateService(customer, endpoint, configuration)
        }

        private fun validateModel(
            customer: CustomerId,
            file: FileRecord,
            configuration: ConfigurationSnapshot,
        ): Result<String?, ServingError> {
            val model = file.models.singleOrNull() ?: return Err(invalid("every line must name the same model"))
            val allowed = configuration.customers[customer]?.models.orEmpty()
            return when {
                configuration.manifest.models.none { it.id == model } ->
                    Err(ServingError.InvalidRequest(ResultCode.UNKNOWN_MODEL, "model $model does not exist"))
                allowed.isNotEmpty() && model !in allowed -> Err(forbidden("the customer may not use model $model"))
                else -> Ok(model)
            }
        }

        private fun validateService(
            customer: CustomerId,
            endpoint: String,
            configuration: ConfigurationSnapshot,
        ): Result<String?, ServingError> {
            val service = configuration.findService(endpoint)
                ?: return Err(ServingError.InvalidRequest(ResultCode.UNKNOWN_ROUTE, "$endpoint does not exist"))
            val restricted = service.access == Access.KEY && service.customers.isNotEmpty()
            return if (restricted && customer !in service.customers) {
                Err(forbidden("the customer may not use service ${service.id}"))
            } else {
                Ok(null)
            }
        }

        private fun invalid(message: String) = ServingError.InvalidRequest(ResultCode.INVALID_FIELD, message)

        private fun forbidden(message: String) = ServingError.NotAuthorized(ResultCode.KEY_OF_OTHER_CUSTOMER, message)
    }
}
