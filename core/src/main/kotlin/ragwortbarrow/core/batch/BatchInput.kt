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

/** A valid input file, split into parts. */
internal class BatchInput(val parts: List<List<String>>, val urls: List<String>, val models: List<String>) {
    val itemCount: Int get() = parts.sumOf { it.size }

    companion object {
        const val MAX_LINES_PER_PART = 200

        /** Well below the platform's limit of one megabyte for an object; counts the bytes of the encoded part. */
        const val MAX_PART_BYTES = 600_000
        private const val MAX_DISTINCT_VALUES = 16

        /** Validates every line of [content]. The error contains the number of the invalid line, counted from 1. */
        fun parse(content: ByteArray): Result<BatchInput, ServingError> {
            val splitter = PartSplitter()
            val lineOfCustomId = HashMap<String, Int>()
            val urls = LinkedHashSet<String>()
            val models = LinkedHashSet<String>()
            content.decodeToString().lineSequence().forEachIndexed { index, line ->
                if (line.isBlank()) return@forEachIndexed
                val lineNumber = index + 1
                val parsed = parseLine(line, lineNumber).getOrElse { return Err(it) }
                val firstLine = lineOfCustomId.putIfAbsent(parsed.customId, lineNumber)
                if (firstLine != null) {
                    return Err(invalid(lineNumber, "custom_id \"${parsed.customId}\" is already on line $firstLine"))
                }
                if (urls.size < MAX_DISTINCT_VALUES) urls += parsed.url
                if (models.size < MAX_DISTINCT_VALUES) parsed.model?.let { models += it }
                if (!splitter.add(line)) return Err(invalid(lineNumber, "the line exceeds $MAX_PART_BYTES bytes"))
            }
            val parts = splitter.finish()
            if (parts.isEmpty()) return Err(ServingError.InvalidRequest(ResultCode.ITEM_INVALID, "the file is empty"))
            return Ok(BatchInput(parts, urls.toList(), models.toList()))
        }

        /** Parses line [lineNumber] of an input file. */
        fun parseLine(line: String, lineNumber: Int): Result<BatchLine, ServingError> {
            val fields = try {
                recordJson.parseToJsonElement(line).jsonObject
            } catch (e: SerializationException) {
                return Err(invalid(lineNumber, "not valid JSON: ${e.message?.lineSequence()?.first()}"))
            } catch (e: IllegalArgumentException) {
                return Err(invalid(lineNumber, "not a JSON object"))
            }
            val customId = fields.stringOrNull("custom_id")?.takeIf { it.isNotEmpty() }
                ?: return Err(invalid(lineNumber, "custom_id is missing"))
            val method = fields.stringOrNull("method") ?: "POST"
            if (method != "POST") return Err(invalid(lineNumber, "method must be POST"))
            val url = fields.stringOrNull("url") ?: return Err(invalid(lineNumber, "url is missing"))
            val body = fields["body"] as? JsonObject ?: return Err(invalid(lineNumber, "body must be an object"))
            return Ok(BatchLine(customId, method, url, body))
        }

        private fun JsonObject.stringOrNull(name: String): String? =
            (get(name) as? JsonPrimitive)?.takeIf { it.isString }?.content

        private fun invalid(lineNumber: Int, message: String) =
            ServingError.InvalidRequest(ResultCode.ITEM_INVALID, "line $lineNumber: $message")
    }
}

/** Splits lines into parts of limited line count and encoded size. */
private class PartSplitter {
    private val parts = ArrayList<List<String>>()
    private var lines = ArrayList<String>()
    private var bytes = 0

    /** Adds [line]; returns false if it is too large for a part by itself. */
    fun add(line: String): Boolean {
        val size = JsonPrimitive(line).toString().encodeToByteArray().size + 1
        if (size > BatchInput.MAX_PART_BYTES) return false
        if (lines.size == BatchInput.MAX_LINES_PER_PART || bytes + size > BatchInput.MAX_PART_BYTES) closePart()
        lines += line
        bytes += size
        return true
    }

    fun finish(): List<List<String>> {
        if (lines.isNotEmpty()) closePart()
        return parts
    }

    private fun closePart() {
        parts += lines
        lines = ArrayList()
        bytes = 0
    }
}
