package ragwortbarrow.standins.operators

/** How a client finds the end of a body. */
enum class BodyFraming {
    LENGTH,
    CHUNKED,

    /** The body ends with its connection. */
    CONNECTION_END,
}

/** A response of a runner as it is written to a connection. */
internal data class RunnerResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: String,
    val framing: BodyFraming = BodyFraming.LENGTH,
) {
    val head: String
        get() {
            val framingHeader = when (framing) {
                BodyFraming.LENGTH -> listOf("Content-Length" to "${body.length}")
                BodyFraming.CHUNKED -> listOf("Transfer-Encoding" to "chunked")
                BodyFraming.CONNECTION_END -> emptyList()
            }
            val lines = (headers + framingHeader).map { (name, value) -> "$name: $value" }
            return (listOf("HTTP/1.1 $status Status") + lines).joinToString("") { "$it\r\n" } + "\r\n"
        }

    val text: String
        get() = head + if (framing == BodyFraming.CHUNKED) chunk(body) + LAST_CHUNK else body

    companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val SERVER_STAMP = "X-Server-Stamp"
        const val LAST_CHUNK = "0\r\n\r\n"
        private const val HEX = 16

        fun chunk(text: String) = if (text.isEmpty()) "" else "${text.length.toString(HEX)}\r\n$text\r\n"
    }
}
