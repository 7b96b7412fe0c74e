package ragwortbarrow.core.batch

import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.store.StoreError

/** Whether another writer was first. */
internal fun StoreError.isRace(): Boolean = this is StoreError.Conflict || this is StoreError.AlreadyExists

/** What a caller is told when the platform fails; [what] names the object asked for. */
internal fun StoreError.toServingError(what: String): ServingError = when (this) {
    is StoreError.NotFound -> ServingError.InvalidRequest(ResultCode.NOT_FOUND, "$what does not exist")
    is StoreError.Unavailable -> ServingError.PlatformFailed(ResultCode.PLATFORM_UNAVAILABLE, message)
    is StoreError.OutcomeUnknown ->
        ServingError.PlatformFailed(ResultCode.PLATFORM_OUTCOME_UNKNOWN, message, Execution.UNKNOWN)
    is StoreError.AlreadyExists, is StoreError.Conflict ->
        ServingError.InvalidRequest(ResultCode.CONFLICT, "$what was changed at the same time")
    is StoreError.Rejected -> ServingError.PlatformFailed(ResultCode.INTERNAL, message)
}
