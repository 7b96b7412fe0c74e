package ragwortbarrow.core.batch

import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.store.StoreError

/** Whether the write failed because another writer was first. */
internal fun StoreError.isConflict(): Boolean = this is StoreError.Conflict || this is StoreError.AlreadyExists

/** The error returned to a caller when the platform fails; [resource] is the requested object. */
internal fun StoreError.toServingError(resource: String): ServingError = when (this) {
    is StoreError.NotFound -> ServingError.InvalidRequest(ResultCode.NOT_FOUND, "$resource does not exist")
    is StoreError.Unavailable -> ServingError.PlatformFailed(ResultCode.PLATFORM_UNAVAILABLE, message)
    is StoreError.OutcomeUnknown ->
        ServingError.PlatformFailed(ResultCode.PLATFORM_OUTCOME_UNKNOWN, message, Execution.UNKNOWN)
    is StoreError.AlreadyExists, is StoreError.Conflict ->
        ServingError.InvalidRequest(ResultCode.CONFLICT, "$resource was changed concurrently")
    is StoreError.Rejected -> ServingError.PlatformFailed(ResultCode.INTERNAL, message)
}
