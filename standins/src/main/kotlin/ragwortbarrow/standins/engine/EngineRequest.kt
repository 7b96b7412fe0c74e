package ragwortbarrow.standins.engine

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** A parsed OpenAI-compatible generation request. */
internal data class EngineRequest(
    val requestId: String,
    val chat: Boolean,
    val model: String,
    val prompt: String,
    val maxTokens: Int?,
    val stream: Boolean,
) {
    companion object {
        /** Returns null if [body] is not a JSON object. */
        fun parse(requestId: String, chat: Boolean, body: String): EngineRequest? {
            val json = try {
                Json.parseToJsonElement(body) as? JsonObject
            } catch (_: SerializationException) {
                null
            } ?: return null
            return EngineRequest(
                requestId = requestId,
                chat = chat,
                model = json.primitive("model")?.contentOrNull.orEmpty(),
                prompt = if (chat) chatPrompt(json["messages"]) else json.primitive("prompt")?.contentOrNull.orEmpty(),
                maxTokens = (json.primitive("max_tokens") ?: json.primitive("max_completion_tokens"))?.intOrNull,
                stream = json.primitive("stream")?.booleanOrNull ?: false,
            )
        }

        private fun JsonObject.primitive(name: String): JsonPrimitive? = get(name) as? JsonPrimitive

        private fun chatPrompt(messages: JsonElement?): String = (messages as? JsonArray).orEmpty()
            .filterIsInstance<JsonObject>()
            .joinToString("\n") { "${it.primitive("role")?.contentOrNull}: ${contentOf(it["content"])}" }

        private fun contentOf(content: JsonElement?): String =
            (content as? JsonPrimitive)?.content ?: content.toString()
    }
}
