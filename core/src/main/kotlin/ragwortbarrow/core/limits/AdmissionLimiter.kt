package ragwortbarrow.core.limits

import com.github.michaelbull.result.Result
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId

/** Limits each customer to its rate and burst across the whole fleet. */
fun interface AdmissionLimiter {
    /** Takes one token of [customer], or returns the reason for the refusal. Never calls the platform. */
    suspend fun admit(customer: CustomerId): Result<Unit, ServingError>
}
