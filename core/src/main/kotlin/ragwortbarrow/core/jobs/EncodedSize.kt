package ragwortbarrow.core.jobs

/*
 * Sizes of results as JSON text, in bytes. They are upper bounds, since encoders differ in the characters that they
 * escape.
 */

/** Size of this result as a JSON object, with its name, its state and separators. */
internal val ItemResult.encodedBytes: Int get() = RESULT_OVERHEAD_BYTES + encodedBytes(id) + encodedBytes(output)

/** Size of the results of this chunk. */
val ResultChunk.encodedBytes: Int get() = results.sumOf { it.encodedBytes }

/** Size of [text] in a JSON string. */
internal fun encodedBytes(text: String): Int = text.sumOf { encodedBytes(it) }

/** The first of these results that have up to [maxBytes] in all, but at least one. */
fun List<ItemResult>.takeEncoded(maxBytes: Int): List<ItemResult> {
    var sizeBytes = 0L
    return takeWhile { result ->
        val isFirst = sizeBytes == 0L
        sizeBytes += result.encodedBytes
        isFirst || sizeBytes <= maxBytes
    }
}

private fun encodedBytes(char: Char): Int = when {
    char == '"' || char == '\\' || char == '\n' -> ESCAPED_BYTES
    char in ' '..'~' -> 1
    else -> UNICODE_ESCAPE_BYTES
}

private const val RESULT_OVERHEAD_BYTES = 100
private const val ESCAPED_BYTES = 2

/** `\u` and four digits, for each UTF-16 unit. */
private const val UNICODE_ESCAPE_BYTES = 6
