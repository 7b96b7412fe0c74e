package ragwortbarrow.objectapi

import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreError

/** Notified of each call to the platform, for metrics. Each attempt of a retried read counts as one call. */
fun interface StoreCallListener {
    fun onCall(verb: String, kind: ObjectKind, outcome: String, durationNanos: Long)

    companion object {
        val NONE: StoreCallListener = StoreCallListener { _, _, _, _ -> }
    }
}

internal fun outcomeName(error: StoreError?): String = when (error) {
    null -> "ok"
    is StoreError.NotFound -> "not_found"
    is StoreError.AlreadyExists -> "already_exists"
    is StoreError.Conflict -> "conflict"
    is StoreError.Unavailable -> "unavailable"
    is StoreError.OutcomeUnknown -> "outcome_unknown"
    is StoreError.Rejected -> "rejected"
}
