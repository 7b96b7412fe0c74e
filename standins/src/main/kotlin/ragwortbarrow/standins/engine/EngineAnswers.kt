package ragwortbarrow.standins.engine

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Answers of the OpenAI form for one run. */
internal class EngineAnswers(private val request: EngineRequest, private val createdSeconds: Long) {
    fun whole(tokens: List<String>): String = answer(if (request.chat) "chat.completion" else "text_completion") {
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

    /** The data of the event for the token at [offset]. */
    fun chunk(tokens: List<String>, offset: Int): String =
        answer(if (request.chat) "chat.completion.chunk" else "text_completion") {
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

    private fun answer(kind: String, fill: JsonObjectBuilder.() -> Unit): JsonObject = buildJsonObject {
        put("id", (if (request.chat) "chatcmpl-" else "cmpl-") + request.requestId)
        put("object", kind)
        put("created", createdSeconds)
        put("model", request.model)
        fill()
    }
}
