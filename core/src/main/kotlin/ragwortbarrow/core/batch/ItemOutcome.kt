package ragwortbarrow.core.batch

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.error.ResultCode

/** The effect of an attempt on its item. */
internal sealed interface ItemOutcome {
    data class Finished(val result: ItemResult) : ItemOutcome

    /** The item was certainly not executed; the attempt is not counted. */
    data class NotRun(val reason: String) : ItemOutcome

    /** The attempt is counted, and the item may be retried. */
    data class FailedAttempt(val reason: String) : ItemOutcome
}

/** Maps the outcome of an attempt to its effect on the item. */
internal class ItemOutcomeMapper(private val customId: String, private val requestId: String) {
    fun map(outcome: AttemptOutcome, repeatable: Boolean): ItemOutcome = when (outcome) {
        is AttemptOutcome.Answered -> mapResponse(outcome.response, repeatable)
        is AttemptOutcome.NotRun -> ItemOutcome.NotRun(outcome.reason)
        is AttemptOutcome.Unknown -> mapFailure(outcome.reason, repeatable)
        is AttemptOutcome.Mismatch -> mapFailure(outcome.reason, repeatable)
    }

    fun failureResult(code: ResultCode, message: String, response: BackendResponse? = null) = ItemResult(
        customId = customId,
        requestId = requestId,
        statusCode = response?.status,
        body = response?.let { parseBody(it.body) },
        errorCode = code.number.toString(),
        errorMessage = message,
    )

    private fun mapResponse(response: BackendResponse, repeatable: Boolean): ItemOutcome = when {
        response.status in 200..299 -> ItemOutcome.Finished(
            limitSize(ItemResult(customId, requestId, statusCode = response.status, body = parseBody(response.body))),
        )
        response.status == TOO_MANY_REQUESTS ->
            ItemOutcome.NotRun("the backend server returned status ${response.status}")
        repeatable && (response.status >= 500 || response.status == REQUEST_TIMEOUT) ->
            ItemOutcome.FailedAttempt("the backend server returned status ${response.status}")
        else -> ItemOutcome.Finished(
            limitSize(
                failureResult(
                    ResultCode.ITEM_FAILED,
                    "the backend server returned status ${response.status}",
                    response,
                ),
            ),
        )
    }

    private fun mapFailure(reason: String, repeatable: Boolean): ItemOutcome = if (repeatable) {
        ItemOutcome.FailedAttempt(reason)
    } else {
        ItemOutcome.Finished(failureResult(ResultCode.ITEM_UNKNOWN, reason))
    }

    private fun limitSize(result: ItemResult): ItemResult {
        val bytes = recordJson.encodeToString(result).encodeToByteArray().size
        if (bytes <= MAX_RESULT_BYTES) return result
        return failureResult(ResultCode.ITEM_FAILED, "the response of $bytes bytes exceeds $MAX_RESULT_BYTES bytes")
    }

    private fun parseBody(body: ByteArray): JsonElement = try {
        recordJson.parseToJsonElement(body.decodeToString())
    } catch (e: SerializationException) {
        JsonPrimitive(body.decodeToString())
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val REQUEST_TIMEOUT = 408

        /** A result must fit into one platform object, which is limited to a megabyte. */
        const val MAX_RESULT_BYTES = 800_000
    }
}
