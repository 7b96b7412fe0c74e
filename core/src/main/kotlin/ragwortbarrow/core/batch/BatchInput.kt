package ragwortbarrow.core.batch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonObject
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError

/** One line of an input file. */
internal class BatchLine(val customId: String, val method: String, val url: String, val body: JsonObject) {
    val model: String? get() = (body["model"] as? JsonPrimitive)?.contentOrNull
    val maxTokens: Int? get() = (body["max_tokens"] as? JsonPrimitive)?.intOrNull
}

/** A valid input file, cut into parts. */
internal class BatchInput(val parts: List<List<String>>, val urls: List<String>, val models: List<String>) {
    val itemCount: Int get() = parts.sumOf { it.size }

    companion object {
        const val MAX_LINES_PER_PART = 200

        /** Well below the platform's limit of one megabyte, counted as encoded in the part's object. */
        const val MAX_PART_BYTES = 600_000
        private const val MAX_DISTINCT = 16

        /** Validates every line of [content]; the error names the line at fault, counted from 1. */
        fun parse(content: ByteArray): Result<BatchInput, ServingError> {
            val cutter = PartCutter()
            val lineOfCustomId = HashMap<String, Int>()
            val urls = LinkedHashSet<String>()
            val models = LinkedHashSet<String>()
            content.decodeToString().lineSequence().forEachIndexed { index, line ->
                if (line.isBlank()) return@forEachIndexed
                val number = index + 1
                val parsed = parseLine(line, number).getOrElse { return Err(it) }
                val earlier = lineOfCustomId.putIfAbsent(parsed.customId, number)
                if (earlier != null) {
                    return Err(invalid(number, "custom_id \"${parsed.customId}\" is already on line $earlier"))
                }
                if (urls.size < MAX_DISTINCT) urls += parsed.url
                if (models.size < MAX_DISTINCT) parsed.model?.let { models += it }
                if (!cutter.add(line)) return Err(invalid(number, "the line is over $MAX_PART_BYTES bytes"))
            }
            val parts = cutter.finish()
            if (parts.isEmpty()) return Err(ServingError.InvalidRequest(ResultCode.ITEM_INVALID, "the file is empty"))
            return Ok(BatchInput(parts, urls.toList(), models.toList()))
        }

        /** Reads line [number] of an input file. */
        fun parseLine(line: String, number: Int): Result<BatchLine, ServingError> {
            val fields = try {
                recordJson.parseToJsonElement(line).jsonObject
            } catch (e: SerializationException) {
                return Err(invalid(number, "not valid JSON: ${e.message?.lineSequence()?.first()}"))
            } catch (e: IllegalArgumentException) {
                return Err(invalid(number, "not a JSON object"))
            }
            val customId = fields.text("custom_id")?.takeIf { it.isNotEmpty() }
                ?: return Err(invalid(number, "custom_id is missing"))
            val method = fields.text("method") ?: "POST"
            if (method != "POST") return Err(invalid(number, "method must be POST"))
            val url = fields.text("url") ?: return Err(invalid(number, "url is missing"))
            val body = fields["body"] as? JsonObject ?: return Err(invalid(number, "body must be an object"))
            return Ok(BatchLine(customId, method, url, body))
        }

        private fun JsonObject.text(name: String): String? =
            (get(name) as? JsonPrimitive)?.takeIf { it.isString }?.content

        private fun invalid(number: Int, message: String) =
            ServingError.InvalidRequest(ResultCode.ITEM_INVALID, "line $number: $message")
    }
}

/** Cuts lines into parts of limited line count and encoded size. */
private class PartCutter {
    private val parts = ArrayList<List<String>>()
    private var lines = ArrayList<String>()
    private var bytes = 0

    /** False if [line] alone is too large for a part. */
    fun add(line: String): Boolean {
        val size = JsonPrimitive(line).toString().encodeToByteArray().size + 1
        if (size > BatchInput.MAX_PART_BYTES) return false
        if (lines.size == BatchInput.MAX_LINES_PER_PART || bytes + size > BatchInput.MAX_PART_BYTES) cut()
        lines += line
        bytes += size
        return true
    }

    fun finish(): List<List<String>> {
        if (lines.isNotEmpty()) cut()
        return parts
    }

    private fun cut() {
        parts += lines
        lines = ArrayList()
        bytes = 0
    }
}
