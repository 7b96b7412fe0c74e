package ragwortbarrow.node.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError

/** Fields of a model request that admission and routing need; the body is forwarded to the backend server unchanged. */
internal data class ModelRequest(val model: String, val stream: Boolean, val maxTokens: Int?, val prompt: String) {
    /** Routing key that sends prompts with the same beginning to the server that has it in its prefix cache. */
    val prefix: String get() = "$model\n" + prompt.take(PREFIX_CHARS)

    /** Estimated tokens of prompt and completion, used as the weight of the request in the fair queue. */
    fun estimatedTokens(defaultMaxTokens: Int): Int =
        (prompt.length / CHARS_PER_TOKEN + (maxTokens ?: defaultMaxTokens)).coerceAtLeast(1)

    companion object {
        private const val PREFIX_CHARS = 256

        /** Rule of thumb for English text; only relative sizes matter. */
        private const val CHARS_PER_TOKEN = 4

        fun parse(body: ByteArray): Result<ModelRequest, ServingError> {
            val json = parseJsonObject(body).getOrElse { return Err(it) }
            val model = json.text("model") ?: return invalid("model", "must be a text")
            val stream = json["stream"].let { field ->
                when (field) {
                    null, JsonNull -> false
                    else -> (field as? JsonPrimitive)?.booleanOrNull
                        ?: return invalid("stream", "must be true or false")
                }
            }
            val maxTokens = (json["max_completion_tokens"] ?: json["max_tokens"]).let { field ->
                when (field) {
                    null, JsonNull -> null

                    else -> (field as? JsonPrimitive)?.intOrNull?.takeIf { it > 0 }
                        ?: return invalid("max_tokens", "must be a whole number above 0")
                }
            }
            return Ok(ModelRequest(model, stream, maxTokens, json.prompt()))
        }
    }
}

internal fun <T> invalid(field: String, fault: String): Result<T, ServingError> =
    Err(ServingError.InvalidRequest(ResultCode.INVALID_FIELD, "field '$field' $fault"))

internal fun JsonObject.text(field: String): String? = (get(field) as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun JsonObject.prompt(): String = buildString {
    (get("messages") as? JsonArray)?.forEach { message ->
        if (message is JsonObject) {
            append(
                message.text("role"),
            ).append(": ").appendContent(message["content"]).append('\n')
        }
    }
    appendContent(get("prompt"))
}

private fun StringBuilder.appendContent(content: JsonElement?): StringBuilder = apply {
    when (content) {
        is JsonPrimitive -> if (content.isString) append(content.content)
        is JsonArray -> content.forEach { appendContent(it) }
        is JsonObject -> appendContent(content["text"])
        null -> Unit
    }
}
