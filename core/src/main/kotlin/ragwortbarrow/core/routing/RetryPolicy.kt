package ragwortbarrow.core.routing

import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId

/** What follows a failed attempt. */
sealed interface RetryDecision {
    data object Retry : RetryDecision

    data class GiveUp(val error: ServingError) : RetryDecision
}

/**
 * Decides whether a request may be sent again. That is safe when the attempt certainly did not run, or when the call is
 * repeatable; it is sensible while attempts and the customer's retry budget last.
 */
class RetryPolicy(private val budget: RetryBudget, private val maxAttempts: Int = 3) {
    /** Counts a new request towards the customer's budget. */
    fun onRequest(customer: CustomerId?): Unit = budget.onRequest(customer)

    /**
     * [mayHaveRun] says that bytes of an earlier attempt may have left, so that the error must not claim `not-run` even
     * if the last attempt did not run. [attempts] counts the attempts so far.
     */
    fun decide(call: OnlineCall, outcome: AttemptOutcome, attempts: Int, mayHaveRun: Boolean): RetryDecision {
        val safe = outcome is AttemptOutcome.NotRun || call.repeatable
        if (!safe || attempts >= maxAttempts) return RetryDecision.GiveUp(errorOf(outcome, mayHaveRun))
        if (budget.tryRetry(call.customer)) return RetryDecision.Retry
        val execution = if (mayHaveRun) Execution.UNKNOWN else Execution.NOT_RUN
        return RetryDecision.GiveUp(
            ServingError.BackendFailed(ResultCode.RETRY_BUDGET_SPENT, "retry budget is spent: $outcome", execution),
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

        is AttemptOutcome.Answered -> error("an answered attempt is no failure")
    }

    private fun failed(code: ResultCode, reason: String) = ServingError.BackendFailed(code, reason, Execution.UNKNOWN)

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
