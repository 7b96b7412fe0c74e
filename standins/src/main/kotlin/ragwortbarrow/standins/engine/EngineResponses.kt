package ragwortbarrow.standins.engine

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Builds the OpenAI-compatible responses to one request. */
internal class EngineResponses(private val request: EngineRequest, private val createdSeconds: Long) {
    fun completion(tokens: List<String>): String = build(if (request.chat) "chat.completion" else "text_completion") {
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                if (request.chat) {
                    putJsonObject("message") {
                        put("role", "assistant")
                        put("content", tokens.joinToString(""))
                    }
                } else {
                    put("text", tokens.joinToString(""))
                }
                put("finish_reason", "length")
            }
        }
        putJsonObject("usage") {
            val promptTokens = request.prompt.split(' ').size
            put("prompt_tokens", promptTokens)
            put("completion_tokens", tokens.size)
            put("total_tokens", promptTokens + tokens.size)
        }
    }.toString()

    /** The data field of the stream event for the token at [offset]. */
    fun chunk(tokens: List<String>, offset: Int): String =
        build(if (request.chat) "chat.completion.chunk" else "text_completion") {
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    if (request.chat) {
                        putJsonObject("delta") {
                            if (offset == 0) put("role", "assistant")
                            put("content", tokens[offset])
                        }
                    } else {
                        put("text", tokens[offset])
                    }
                    val finish = if (offset == tokens.lastIndex) "length" else null
                    put("finish_reason", JsonPrimitive(finish))
                }
            }
        }.toString()

    private fun build(kind: String, fill: JsonObjectBuilder.() -> Unit): JsonObject = buildJsonObject {
        put("id", (if (request.chat) "chatcmpl-" else "cmpl-") + request.requestId)
        put("object", kind)
        put("created", createdSeconds)
        put("model", request.model)
        fill()
    }
}
