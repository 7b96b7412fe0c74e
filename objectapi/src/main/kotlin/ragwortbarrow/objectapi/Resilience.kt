package ragwortbarrow.objectapi

import arrow.resilience.CircuitBreaker
import arrow.resilience.Schedule
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay
import ragwortbarrow.core.store.StoreError

/** Retries [action] on errors for as long as this schedule allows. */
internal suspend fun <T> Schedule<StoreError, *>.retryResult(
    action: suspend () -> Result<T, StoreError>,
): Result<T, StoreError> {
    var step = step
    while (true) {
        val error = action().fold({ return Ok(it) }, { it })
        when (val decision = step(error)) {
            is Schedule.Decision.Continue -> {
                delay(decision.delay)
                step = decision.step
            }
            is Schedule.Decision.Done -> return Err(error)
        }
    }
}

/** Runs [action] behind this circuit breaker, which counts platform failures but not rejected requests. */
internal suspend fun <T> CircuitBreaker.protectResult(
    action: suspend () -> Result<T, StoreError>,
): Result<T, StoreError> = try {
    protectOrThrow {
        action().fold(
            { Ok(it) },
            { error ->
                when (error) {
                    is StoreError.Unavailable, is StoreError.OutcomeUnknown -> throw CountedFailure(error)
                    else -> Err(error)
                }
            },
        )
    }
} catch (failure: CountedFailure) {
    Err(failure.error)
} catch (failure: CircuitBreaker.ExecutionRejected) {
    Err(StoreError.Unavailable("the circuit breaker is open: ${failure.reason}"))
}

/** Wraps an error for the circuit breaker, which counts only exceptions. */
private class CountedFailure(val error: StoreError) : Exception(error.message, null, false, false)
