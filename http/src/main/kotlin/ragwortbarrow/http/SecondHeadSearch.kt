package ragwortbarrow.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * Looks for the head of another response in a body. A status line counts only if a header follows it that is also in
 * [headers], those of the body's own response, since a body may quote a status line.
 */
internal class SecondHeadSearch(private val headers: HttpHeaders) {
    private var tail = ""

    /** Whether a head begins in the bytes that were added. */
    var isFound = false
        private set

    /** Adds the next [bytes] of the body. */
    fun add(bytes: ByteArray) {
        if (isFound) return
        val text = tail + bytes.toString(Charsets.ISO_8859_1)
        tail = text.takeLast(MAX_START_CHARS)
        isFound = HEAD_START.findAll(text).any { headers.contains(it.groupValues[1]) }
    }

    private companion object {
        val HEAD_START = Regex("""HTTP/\d\.\d \d{3}[^\r\n]{0,64}\r\n([!-9;-~]{1,64}):""")

        /** At least the longest match of [HEAD_START], which may arrive in parts. */
        const val MAX_START_CHARS = 160
    }
}
