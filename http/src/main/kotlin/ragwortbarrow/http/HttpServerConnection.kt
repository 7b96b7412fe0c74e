package ragwortbarrow.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.Future
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/** One caller's connection: reads whole requests and answers them one after the other. */
internal class HttpServerConnection(
    private val channel: Channel,
    private val scope: CoroutineScope,
    private val limits: HttpServerLimits,
    private val isClosing: () -> Boolean,
    private val handler: HttpHandler,
) : ChannelInboundHandlerAdapter() {
    private var reading: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private var running: Job? = null
    private val waiting = ArrayDeque<Waiting>()
    private var timeout: Future<*>? = null

    /** Whether no request is being read, run or waiting. */
    val isIdle: Boolean get() = reading == null && running == null && waiting.isEmpty()

    fun close() {
        channel.close()
    }

    override fun channelActive(context: ChannelHandlerContext) = closeAfter(limits.idleTimeoutMillis)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel(false)
        waiting.clear()
        running?.cancel(CancellationException("the caller closed the connection"))
    }

    @Deprecated("Netty keeps the method on this interface")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun read(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            refuseAndClose(HttpResponseStatus.BAD_REQUEST)
            return
        }
        if (message is HttpRequest) {
            reading = message
            body = ByteArrayOutputStream()
            closeAfter(limits.headerTimeoutMillis)
            if (HttpUtil.is100ContinueExpected(message)) {
                channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            }
        }
        val head = reading
        if (message is HttpContent && head != null) {
            if (body.size() + message.content().readableBytes() > limits.maxBodyBytes) {
                refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
                return
            }
            body.writeBytes(ByteBufUtil.getBytes(message.content()))
            if (message is LastHttpContent) whole(head)
        }
    }

    private fun whole(head: HttpRequest) {
        reading = null
        timeout?.cancel(false)
        val message = HttpRequestMessage(head.method().name(), head.uri(), head.headers(), body.toByteArray())
        waiting += Waiting(message, HttpUtil.isKeepAlive(head))
        body = ByteArrayOutputStream()
        if (waiting.size > MAX_PIPELINED) channel.close() else runNext()
    }

    private fun runNext() {
        if (running != null) return
        val next = waiting.removeFirstOrNull()
        if (next == null) {
            if (channel.isActive) closeAfter(limits.idleTimeoutMillis)
            return
        }
        val request = next.message
        val reply = Reply(next.keepAlive)
        val job = scope.launch {
            try {
                handler(request, reply)
                if (!reply.isFinished) reply.abort()
            } catch (cancelled: CancellationException) {
                reply.abort()
                throw cancelled
            } catch (failure: Exception) {
                logger.error("event=request_handler_failed path=${request.pathOnly}", failure)
                if (reply.isStarted) reply.abort() else reply.whole(500, DefaultHttpHeaders(), ByteArray(0))
            }
        }
        running = job
        job.invokeOnCompletion {
            running = null
            if (channel.isActive) runNext()
        }
    }

    private fun closeAfter(millis: Long) {
        timeout?.cancel(false)
        timeout = channel.eventLoop().schedule({ if (running == null) channel.close() }, millis, TimeUnit.MILLISECONDS)
    }

    private fun refuseAndClose(status: HttpResponseStatus) {
        reading = null
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private class Waiting(val message: HttpRequestMessage, val keepAlive: Boolean)

    private inner class Reply(private val keepAlive: Boolean) : HttpReply {
        override var isStarted = false
            private set
        override var isFinished = false
            private set
        private var closes = false

        override fun whole(status: Int, headers: HttpHeaders, body: ByteArray) {
            if (isStarted) return
            isStarted = true
            isFinished = true
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body),
            )
            response.headers().set(headers).set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            finish(channel.writeAndFlush(markClose(response)))
        }

        override fun start(status: Int, headers: HttpHeaders) {
            isStarted = true
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            response.headers().set(headers).set(HttpHeaderNames.TRANSFER_ENCODING, "chunked")
            channel.writeAndFlush(markClose(response))
        }

        override fun bytes(bytes: ByteArray) {
            channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override fun end() {
            isFinished = true
            finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
        }

        override fun abort() {
            isFinished = true
            channel.close()
        }

        private fun <T : HttpResponse> markClose(response: T): T = response.also {
            closes = !keepAlive || isClosing()
            if (closes) it.headers().set(HttpHeaderNames.CONNECTION, "close")
        }

        private fun finish(written: ChannelFuture) {
            if (closes) written.addListener(ChannelFutureListener.CLOSE)
        }
    }

    private companion object {
        val logger = LogManager.getLogger(HttpServerConnection::class.java)

        /** Requests that a caller may send ahead on one connection before it is closed. */
        const val MAX_PIPELINED = 16
    }
}
