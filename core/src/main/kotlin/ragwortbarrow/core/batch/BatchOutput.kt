package ragwortbarrow.core.batch

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Formats results as lines of an output file in the format of the OpenAI batch API. */
internal object BatchOutput {
    fun line(jobId: String, chunkIndex: Int, itemIndex: Int, result: ItemResult): JsonObject = buildJsonObject {
        put("id", "batch_req_" + BatchNames.digest("$jobId/$chunkIndex/$itemIndex"))
        put("custom_id", result.customId)
        put("response", if (result.statusCode == null) JsonNull else response(result, result.statusCode))
        put("error", if (result.errorCode == null) JsonNull else error(result, result.errorCode))
    }

    private fun response(result: ItemResult, statusCode: Int) = buildJsonObject {
        put("status_code", statusCode)
        put("request_id", result.requestId)
        put("body", result.body ?: JsonNull)
    }

    private fun error(result: ItemResult, code: String) = buildJsonObject {
        put("code", code)
        put("message", result.errorMessage.orEmpty())
    }
}
