package ragwortbarrow.core.routing

import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId

/** What to do after a failed attempt. */
sealed interface RetryDecision {
    data object Retry : RetryDecision

    data class GiveUp(val error: ServingError) : RetryDecision
}

/**
 * Decides whether a request may be sent again. A retry is safe if the attempt certainly did not run or the call is
 * repeatable (idempotent), and allowed while attempts and the customer's retry budget remain.
 */
class RetryPolicy(private val budget: RetryBudget, private val maxAttempts: Int = 3) {
    /** Adds the share of a new request to the customer's retry budget. */
    fun recordRequest(customer: CustomerId?): Unit = budget.recordRequest(customer)

    /**
     * Decides what follows [outcome]. [attempts] is the number of attempts so far. [mayHaveRun] means that bytes of an
     * attempt may have been sent; the error must then not claim `not-run`, even if the last attempt did not run.
     */
    fun decide(call: OnlineCall, outcome: AttemptOutcome, attempts: Int, mayHaveRun: Boolean): RetryDecision {
        val safe = outcome is AttemptOutcome.NotRun || call.repeatable
        if (!safe || attempts >= maxAttempts) return RetryDecision.GiveUp(errorOf(outcome, mayHaveRun))
        if (budget.tryAcquire(call.customer)) return RetryDecision.Retry
        val execution = if (mayHaveRun) Execution.UNKNOWN else Execution.NOT_RUN
        return RetryDecision.GiveUp(
            ServingError.BackendFailed(ResultCode.RETRY_BUDGET_SPENT, "the retry budget is spent: $outcome", execution),
        )
    }

    private fun errorOf(outcome: AttemptOutcome, mayHaveRun: Boolean): ServingError = when (outcome) {
        is AttemptOutcome.NotRun -> if (mayHaveRun) {
            failed(ResultCode.BACKEND_FAILED_UNKNOWN, outcome.reason)
        } else {
            ServingError.Unavailable(ResultCode.BACKEND_FAILED_NOT_RUN, outcome.reason, RETRY_AFTER_MILLIS)
        }

        is AttemptOutcome.Unknown ->
            failed(
                if (outcome.timedOut) ResultCode.BACKEND_TIMEOUT else ResultCode.BACKEND_FAILED_UNKNOWN,
                outcome.reason,
            )

        is AttemptOutcome.Mismatch -> failed(ResultCode.ANSWER_MISMATCH, outcome.reason)

        is AttemptOutcome.Answered -> error("an answered attempt is not a failure")
    }

    private fun failed(code: ResultCode, reason: String) = ServingError.BackendFailed(code, reason, Execution.UNKNOWN)

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
