package ragwortbarrow.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/**
 * A client connection that carries one request at a time. Data that arrives while no request is pending closes the
 * connection, since it cannot be assigned to a request, and so do bytes that follow a response.
 */
class HttpClientConnection internal constructor(
    internal val channel: Channel,
    val address: String,
    private val memory: BodyMemory,
    private val onStrayBytes: (StrayBytes) -> Unit,
) {
    internal val decoder = ResponseDecoder()

    private var answer: HttpAnswer? = null
    private var isDiscarding = false
    private var keepAliveSeconds: Long? = null
    private var closeAfterResponse = false
    private var isRequestWritten = false
    private var bytesBeforeHead = 0
    private var endsWithConnection = false

    /** Whether the server ended its side of the connection, which a reset or a failed write does not show. */
    private var hasServerEnded = false
    private var secondHeadSearch: SecondHeadSearch? = null

    /** Monotonic time at which the connection became idle. */
    internal var idleSinceNanos = 0L

    /** The server's keep-alive timeout for idle connections. */
    internal val keepAliveMillis: Long get() = (keepAliveSeconds ?: DEFAULT_KEEP_ALIVE_SECONDS) * 1_000

    val isOpen: Boolean get() = channel.isActive

    /**
     * Sends [request] and returns its response, which may not have arrived yet. [onProgress] is called when the
     * head and each part of the body arrive; responses for which [isExpected] returns false are discarded. Throws
     * [HttpFailure.ConnectFailed] if the connection is closed.
     */
    fun send(
        request: HttpRequestMessage,
        onProgress: () -> Unit = {},
        isExpected: (HttpResponse) -> Boolean = { true },
    ): HttpAnswer {
        // A channel that is closed later reports it to the pending response.
        if (!isOpen) throw HttpFailure.ConnectFailed("$address closed the connection before the request was sent")
        val pending = HttpAnswer(onProgress, isExpected, memory, ::close) { channel.config().isAutoRead = it }
        answer = pending
        bytesBeforeHead = 0
        isRequestWritten = false
        closeAfterResponse = false
        val body = Unpooled.wrappedBuffer(request.body)
        val method = HttpMethod.valueOf(request.method)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, request.path, body)
        message.headers().set(request.headers)
        if (request.body.isNotEmpty() || method == HttpMethod.POST || method == HttpMethod.PUT) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        channel.writeAndFlush(message).addListener { if (it.isSuccess) isRequestWritten = true }
        return pending
    }

    /** Closes the connection, so that a server that still processes the request can cancel it. */
    fun close() {
        channel.close()
    }

    /**
     * Whether the last response is complete, neither side asked to close the connection, and it reads what arrives: it
     * stops while many bytes of a response wait for their reader, who may have left them.
     */
    internal val isReusable: Boolean
        get() = isOpen && answer == null && !closeAfterResponse && isRequestWritten && channel.config().isAutoRead

    private fun fail(reason: String) = fail(HttpFailure.Broken(reason))

    private fun fail(failure: HttpFailure.Broken) {
        val current = answer
        answer = null
        channel.close()
        current?.onBroken(failure)
    }

    private fun reportStrayBytes(arrival: StrayBytesArrival, response: HttpResponse? = null) =
        onStrayBytes(StrayBytes(address, arrival, response))

    /** The decoder may hold a part of a head, to which it would append the next response. */
    private fun closeForStrayBytes(arrival: StrayBytesArrival) {
        reportStrayBytes(arrival)
        channel.close()
    }

    /** Decodes responses, and shows whether bytes follow the one that was decoded last. */
    internal class ResponseDecoder : HttpResponseDecoder() {
        val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0
    }

    /** Closes the connection if a server sends bytes while idle, or without end before the head of a response. */
    internal inner class HeadSizeLimiter : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (answer == null) {
                ReferenceCountUtil.release(message)
                closeForStrayBytes(StrayBytesArrival.WHILE_IDLE)
                return
            }
            if (answer?.hasHead == false && message is ByteBuf) {
                bytesBeforeHead += message.readableBytes()
                if (bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
                    ReferenceCountUtil.release(message)
                    fail("no head of the response within $MAX_BYTES_BEFORE_HEAD bytes")
                    return
                }
            }
            context.fireChannelRead(message)
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event is ChannelInputShutdownEvent) hasServerEnded = true
            context.fireUserEventTriggered(event)
        }
    }

    internal inner class Handler : SimpleChannelInboundHandler<HttpObject>() {
        override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
            val current = answer
            when {
                current == null -> context.close()
                message.decoderResult().isFailure -> fail("the response is not valid HTTP")
                else -> {
                    if (message is HttpResponse) onHead(current, message)
                    if (message is HttpContent && answer != null) onContent(current, message)
                }
            }
        }

        private fun onHead(current: HttpAnswer, response: HttpResponse) {
            if (response.containsStatusLine) {
                reportStrayBytes(StrayBytesArrival.WITHIN_HEAD, response)
                fail("the head of the response contains a second status line")
                return
            }
            val status = response.status().code()
            if (status !in VALID_STATUSES) {
                fail("the response has the status $status")
                return
            }
            val isInterim = status < HttpResponseStatus.OK.code()
            isDiscarding = isInterim || !current.isExpected(response)
            if (isDiscarding) {
                if (!isInterim) reportStrayBytes(StrayBytesArrival.BEFORE_RESPONSE, response)
                return
            }
            keepAliveSeconds = response.headers().get("Keep-Alive")?.substringAfter("timeout=", "")
                ?.takeWhile { it.isDigit() }?.toLongOrNull() ?: keepAliveSeconds
            val isChunked = HttpUtil.isTransferEncodingChunked(response)
            val hasNoLength = !HttpUtil.isContentLengthSet(response) && !isChunked
            endsWithConnection = hasNoLength && status !in STATUSES_WITHOUT_BODY
            closeAfterResponse = !HttpUtil.isKeepAlive(response) || hasNoLength
            // A head is no valid chunk.
            secondHeadSearch = if (isChunked) null else SecondHeadSearch(response.headers())
            current.onHead(response)
        }

        private fun onContent(current: HttpAnswer, content: HttpContent) {
            if (!isDiscarding) {
                if (content.content().isReadable) onBytes(current, ByteBufUtil.getBytes(content.content()))
                if (content is LastHttpContent && answer != null) onEnd(current)
            } else if (content is LastHttpContent) {
                isDiscarding = false
            }
        }

        private fun onBytes(current: HttpAnswer, bytes: ByteArray) {
            secondHeadSearch?.add(bytes)
            if (endsWithConnection && hasSecondHead) failForSecondHead() else current.onBytes(bytes)
        }

        /** A body may quote a head. One that was cut off took its end from another response, whose rest follows. */
        private fun onEnd(current: HttpAnswer) {
            // The decoder ends such a body with the connection, however that ended.
            if (endsWithConnection && !(hasServerEnded && isRequestWritten)) {
                fail(HttpFailure.Disconnected("the connection failed before the end of the response"))
                return
            }
            if (hasSecondHead && decoder.hasUndecodedBytes) {
                failForSecondHead()
                return
            }
            answer = null
            if (decoder.hasUndecodedBytes) closeForStrayBytes(StrayBytesArrival.AFTER_RESPONSE)
            current.onEnd()
        }

        private val hasSecondHead: Boolean get() = secondHeadSearch?.isFound == true

        private fun failForSecondHead() {
            reportStrayBytes(StrayBytesArrival.WITHIN_BODY)
            fail("the body of the response contains the head of another response")
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            // The decoder has seen the event before, and ended a body that ends with its connection.
            if (event is ChannelInputShutdownEvent) fail(HttpFailure.Disconnected("the connection was closed"))
        }

        override fun channelInactive(context: ChannelHandlerContext) =
            fail(HttpFailure.Disconnected("the connection was closed"))

        @Deprecated("deprecated in ChannelHandler, but not in ChannelInboundHandler")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = fail(connectionFailure(cause))

        private fun connectionFailure(cause: Throwable): HttpFailure.Broken {
            val message = "the connection failed: ${cause.message}"
            // Keep-alive probes without an answer time out, which does not show that the server closed the connection.
            val isClosed = cause is IOException && "timed out" !in cause.message.orEmpty()
            return if (isClosed) HttpFailure.Disconnected(message) else HttpFailure.Broken(message)
        }
    }

    private companion object {
        val VALID_STATUSES = 100..599
        val STATUSES_WITHOUT_BODY =
            setOf(HttpResponseStatus.NO_CONTENT.code(), HttpResponseStatus.NOT_MODIFIED.code())

        val STATUS_LINE = Regex("""HTTP/\d\.\d \d{3}""")

        /** Whether the head was cut off and continues with the head of another response. */
        val HttpResponse.containsStatusLine: Boolean
            get() = STATUS_LINE.containsMatchIn(status().reasonPhrase()) ||
                headers().any { STATUS_LINE.containsMatchIn(it.value) }

        /** Used when a server sends no keep-alive timeout; common server defaults start at 5 s. */
        const val DEFAULT_KEEP_ALIVE_SECONDS = 4L

        /** Room for a late response to another request, which is skipped, and for the head. */
        const val MAX_BYTES_BEFORE_HEAD = 1024 * 1024
    }
}
