package ragwortbarrow.core.batch

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.error.ResultCode

/** What an attempt means for its item. */
internal sealed interface ItemOutcome {
    data class Finished(val result: ItemResult) : ItemOutcome

    /** The item was certainly not run; the attempt does not count. */
    data class NotRun(val reason: String) : ItemOutcome

    /** The attempt counts, and the item may be tried again. */
    data class FailedAttempt(val reason: String) : ItemOutcome
}

/** Interprets the outcomes of attempts. */
internal class ItemOutcomes(private val customId: String, private val requestId: String) {
    fun of(outcome: AttemptOutcome, repeatable: Boolean): ItemOutcome = when (outcome) {
        is AttemptOutcome.Answered -> ofAnswer(outcome.response, repeatable)
        is AttemptOutcome.NotRun -> ItemOutcome.NotRun(outcome.reason)
        is AttemptOutcome.Unknown -> failed(outcome.reason, repeatable)
        is AttemptOutcome.Mismatch -> failed(outcome.reason, repeatable)
    }

    fun failure(code: ResultCode, message: String, response: BackendResponse? = null) = ItemResult(
        customId = customId,
        requestId = requestId,
        statusCode = response?.status,
        body = response?.let { json(it.body) },
        errorCode = code.number.toString(),
        errorMessage = message,
    )

    private fun ofAnswer(response: BackendResponse, repeatable: Boolean): ItemOutcome = when {
        response.status in 200..299 -> ItemOutcome.Finished(
            limited(ItemResult(customId, requestId, statusCode = response.status, body = json(response.body))),
        )
        response.status == TOO_MANY_REQUESTS -> ItemOutcome.NotRun("the backend server answered ${response.status}")
        repeatable && (response.status >= 500 || response.status == REQUEST_TIMEOUT) ->
            ItemOutcome.FailedAttempt("the backend server answered ${response.status}")
        else -> ItemOutcome.Finished(
            limited(failure(ResultCode.ITEM_FAILED, "the backend server answered ${response.status}", response)),
        )
    }

    private fun failed(reason: String, repeatable: Boolean): ItemOutcome = if (repeatable) {
        ItemOutcome.FailedAttempt(reason)
    } else {
        ItemOutcome.Finished(failure(ResultCode.ITEM_UNKNOWN, reason))
    }

    private fun limited(result: ItemResult): ItemResult {
        val bytes = recordJson.encodeToString(result).encodeToByteArray().size
        if (bytes <= MAX_RESULT_BYTES) return result
        return failure(ResultCode.ITEM_FAILED, "the answer of $bytes bytes is over $MAX_RESULT_BYTES bytes")
    }

    private fun json(body: ByteArray): JsonElement = try {
        recordJson.parseToJsonElement(body.decodeToString())
    } catch (e: SerializationException) {
        JsonPrimitive(body.decodeToString())
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val REQUEST_TIMEOUT = 408

        /** A result has to fit into one platform object of a megabyte. */
        const val MAX_RESULT_BYTES = 800_000
    }
}
