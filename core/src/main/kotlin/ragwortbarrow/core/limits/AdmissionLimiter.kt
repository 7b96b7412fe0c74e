package ragwortbarrow.core.limits

import com.github.michaelbull.result.Result
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId

/** Admits requests of customers within their rate and burst, counted over the whole fleet. */
fun interface AdmissionLimiter {
    /** Takes one token of [customer], or tells why there is none. Never calls the platform. */
    suspend fun admit(customer: CustomerId): Result<Unit, ServingError>
}
