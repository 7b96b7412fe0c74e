package ragwortbarrow.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/**
 * One client connection. It carries one request at a time, and any byte that arrives while no request is waiting closes
 * it: such bytes belong to no request.
 */
class HttpClientConnection internal constructor(internal val channel: Channel, val address: String) {
    private var answer: HttpAnswer? = null
    private var discarding = false
    private var keepAliveSeconds: Long? = null
    private var closeAfterAnswer = false
    private var written = false

    /** Monotonic time at which the connection became idle. */
    internal var idleSinceNanos = 0L

    /** How long the server keeps the connection when idle, in milliseconds. */
    internal val keepAliveMillis: Long get() = (keepAliveSeconds ?: DEFAULT_KEEP_ALIVE_SECONDS) * 1_000

    val isOpen: Boolean get() = channel.isActive

    /**
     * Sends [request] and returns its answer, whose head may not have arrived yet. [progressed] is called with the head
     * and with each part of the body.
     */
    fun send(
        request: HttpRequestMessage,
        progressed: () -> Unit = {},
        belongs: (HttpResponse) -> Boolean = { true },
    ): HttpAnswer {
        val sent = HttpAnswer(progressed, belongs)
        answer = sent
        written = false
        closeAfterAnswer = false
        val body = Unpooled.wrappedBuffer(request.body)
        val method = HttpMethod.valueOf(request.method)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, request.path, body)
        message.headers().set(request.headers)
        if (request.body.isNotEmpty() || method == HttpMethod.POST || method == HttpMethod.PUT) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        channel.writeAndFlush(message).addListener { if (it.isSuccess) written = true }
        return sent
    }

    /** Closes the connection; a server that works for its request sees that nobody waits any more. */
    fun close() {
        channel.close()
    }

    /** Whether the connection can carry another request: its last answer is complete and nobody wants it closed. */
    internal val isReusable: Boolean
        get() = isOpen && answer == null && !closeAfterAnswer && written

    internal inner class Handler : SimpleChannelInboundHandler<HttpObject>() {
        override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
            val current = answer
            when {
                current == null -> context.close()
                message.decoderResult().isFailure -> broken("the answer is not HTTP", context)
                else -> {
                    if (message is HttpResponse) head(current, message)
                    if (message is HttpContent && answer != null) content(current, message)
                }
            }
        }

        private fun head(current: HttpAnswer, response: HttpResponse) {
            discarding = response.status().code() < 200 || !current.belongs(response)
            if (discarding) return
            keepAliveSeconds = response.headers().get("Keep-Alive")?.substringAfter("timeout=", "")
                ?.takeWhile { it.isDigit() }?.toLongOrNull() ?: keepAliveSeconds
            closeAfterAnswer = !HttpUtil.isKeepAlive(response) ||
                !(HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
            current.onHead(response)
        }

        private fun content(current: HttpAnswer, content: HttpContent) {
            if (!discarding) {
                if (content.content().isReadable) current.onBytes(ByteBufUtil.getBytes(content.content()))
                if (content is LastHttpContent) {
                    answer = null
                    current.onEnd()
                }
            } else if (content is LastHttpContent) {
                discarding = false
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) = broken("the connection was closed", context)

        @Deprecated("Netty keeps the method on this interface")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
            broken("the connection failed: ${cause.message}", context)

        private fun broken(reason: String, context: ChannelHandlerContext) {
            val current = answer
            answer = null
            context.close()
            current?.onBroken(HttpFailure.Broken(reason))
        }
    }

    private companion object {
        /** Assumed when a server does not say how long it keeps idle connections; common defaults start at 5 s. */
        const val DEFAULT_KEEP_ALIVE_SECONDS = 4L
    }
}
