package ragwortbarrow.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ByteProcessor

/** Estimates of the memory that parts of a request take once they are decoded. */
internal object RequestCost {
    /** The objects of one header line: an entry of the headers, the name and the value. */
    private const val LINE_BYTES = 160L

    /** The shortest line of a head: one byte and its line feed. */
    private const val SHORTEST_LINE_BYTES = 2

    fun ofHead(head: HttpRequest): Long {
        var bytes = LINE_BYTES + head.uri().length
        head.headers().iteratorCharSequence().forEach { (name, value) ->
            bytes +=
                LINE_BYTES + name.length + value.length
        }
        return bytes
    }

    /** The lines of a head or of trailers that may be in [bytes]. */
    fun ofLines(bytes: ByteBuf): Long {
        var lines = 0
        bytes.forEachByte(
            ByteProcessor {
                if (it == '\n'.code.toByte()) lines++
                true
            },
        )
        return bytes.readableBytes() + lines * LINE_BYTES
    }

    /** The most that lines of [maxHeaderBytes] take. */
    fun ofMostLines(maxHeaderBytes: Int): Long = maxHeaderBytes + maxHeaderBytes / SHORTEST_LINE_BYTES * LINE_BYTES
}
