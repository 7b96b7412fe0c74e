package ragwortbarrow.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
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
import ragwortbarrow.core.time.ChangeSignal
import ragwortbarrow.core.time.NANOS_PER_MILLI
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/** A server-side connection: reads complete requests and handles them one at a time, in order. */
internal class HttpServerConnection(
    private val channel: Channel,
    private val scope: CoroutineScope,
    private val limits: () -> HttpServerLimits,
    private val isClosing: () -> Boolean,
    private val onUnanswered: (UnansweredRequest) -> Unit,
    private val handler: HttpHandler,
) : ChannelInboundHandlerAdapter() {
    private var requestHead: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private var handlerJob: Job? = null
    private var currentReply: Reply? = null
    private var closeReason: ConnectionCloseReason? = null

    /** The status that ends the connection when the requests before it have been answered. */
    private var refusal: HttpResponseStatus? = null
    private val queuedRequests = ArrayDeque<QueuedRequest>()
    private var timeout: Future<*>? = null
    private var lastUseNanos = System.nanoTime()
    private val writable = ChangeSignal()

    /** The unsent bytes of responses when the idle timer last ran. */
    private var unsentBefore: UnsentBytes? = null

    /** Whether no request is being read, handled or queued, and no response is on its way to the caller. */
    val isIdle: Boolean
        get() = requestHead == null && handlerJob == null && queuedRequests.isEmpty() && unsentBytes() == null

    /** Time since the connection was accepted or since its last response was sent. */
    val idleMillis: Long get() = (System.nanoTime() - lastUseNanos) / NANOS_PER_MILLI

    fun close(reason: ConnectionCloseReason) {
        if (closeReason == null) closeReason = reason
        channel.close()
    }

    override fun channelActive(context: ChannelHandlerContext) = scheduleIdleClose()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) writable.raise()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout?.cancel(false)
        reportUnanswered(closeReason ?: ConnectionCloseReason.CALLER)
        queuedRequests.clear()
        handlerJob?.cancel(CancellationException("the caller closed the connection"))
    }

    @Deprecated("deprecated in ChannelHandler, but not in ChannelInboundHandler")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
        close(ConnectionCloseReason.CONNECTION_FAILED)

    /** Reports the requests that were read whole and whose response is not complete when the connection ends. */
    private fun reportUnanswered(reason: ConnectionCloseReason) {
        val reply = currentReply
        if (reply != null && !reply.isComplete) {
            onUnanswered(UnansweredRequest(reply.request, reason, reply.isStarted))
        }
        queuedRequests.forEach { onUnanswered(UnansweredRequest(it.message, reason, isStarted = false)) }
    }

    private fun read(message: HttpObject) {
        if (refusal != null) return
        if (message.decoderResult().isFailure) {
            refuse(HttpResponseStatus.BAD_REQUEST)
            return
        }
        if (message is HttpRequest) {
            requestHead = message
            body = ByteArrayOutputStream()
            schedule(limits().headerTimeoutMillis) { close(ConnectionCloseReason.REQUEST_TIMEOUT) }
            if (HttpUtil.is100ContinueExpected(message)) {
                channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            }
        }
        val head = requestHead
        if (message is HttpContent && head != null) {
            if (body.size() + message.content().readableBytes() > limits().maxBodyBytes) {
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
                return
            }
            body.writeBytes(ByteBufUtil.getBytes(message.content()))
            if (message is LastHttpContent) enqueue(head)
        }
    }

    private fun enqueue(head: HttpRequest) {
        requestHead = null
        timeout?.cancel(false)
        val message = HttpRequestMessage(head.method().name(), head.uri(), head.headers(), body.toByteArray())
        queuedRequests += QueuedRequest(message, HttpUtil.isKeepAlive(head))
        body = ByteArrayOutputStream()
        runNext()
        limitReading()
    }

    /** Reads no further requests while [MAX_QUEUED] wait for those before them. */
    private fun limitReading() {
        channel.config().isAutoRead = queuedRequests.size < MAX_QUEUED
    }

    private fun runNext() {
        if (handlerJob != null) return
        // The connection is closed as soon as a response that is the last one has been sent.
        val isLast = currentReply?.closesAfterResponse == true
        val next = if (isLast) null else queuedRequests.removeFirstOrNull()
        if (next == null) {
            val status = refusal.takeIf { !isLast }
            when {
                status != null -> refuseAndClose(status)
                channel.isActive -> scheduleIdleClose()
            }
            return
        }
        val request = next.message
        val reply = Reply(request, next.keepAlive)
        currentReply = reply
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
        handlerJob = job
        job.invokeOnCompletion {
            handlerJob = null
            if (reply.isComplete) currentReply = null
            lastUseNanos = System.nanoTime()
            if (channel.isActive) {
                runNext()
                limitReading()
            }
        }
    }

    /**
     * Closes the connection after the idle timeout, which may change while the connection is idle. A caller that still
     * reads its response uses the connection.
     */
    private fun scheduleIdleClose(delayMillis: Long = limits().idleTimeoutMillis) {
        schedule(delayMillis) {
            val unsent = unsentBytes()
            if (unsent != null && unsent != unsentBefore) lastUseNanos = System.nanoTime()
            unsentBefore = unsent
            val remainingMillis = limits().idleTimeoutMillis - idleMillis
            if (remainingMillis > 0) scheduleIdleClose(remainingMillis) else close(ConnectionCloseReason.IDLE)
        }
    }

    /** What the channel holds of responses, because the caller reads slowly; closing the channel would discard it. */
    private fun unsentBytes(): UnsentBytes? = channel.unsafe().outboundBuffer()
        ?.takeIf { !it.isEmpty }
        ?.let { UnsentBytes(it.totalPendingWriteBytes(), it.currentProgress()) }

    private fun schedule(delayMillis: Long, action: () -> Unit) {
        timeout?.cancel(false)
        timeout = channel.eventLoop()
            .schedule({ if (handlerJob == null) action() }, delayMillis, TimeUnit.MILLISECONDS)
    }

    private fun refuse(status: HttpResponseStatus) {
        refusal = status
        requestHead = null
        body = ByteArrayOutputStream()
        timeout?.cancel(false)
        runNext()
    }

    /**
     * Ends the responses with [status]. What the caller still sends is discarded until it closes the connection or its
     * time for a request is over: closing the connection with unread bytes resets it, and the refusal may be lost.
     */
    private fun refuseAndClose(status: HttpResponseStatus) {
        closeReason = ConnectionCloseReason.INVALID_REQUEST
        lastUseNanos = System.nanoTime()
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
        channel.writeAndFlush(response).addListener { (channel as DuplexChannel).shutdownOutput() }
        schedule(limits().headerTimeoutMillis) { close(ConnectionCloseReason.INVALID_REQUEST) }
    }

    /** The size of all unsent buffers, and how much of the first one has been sent. */
    private data class UnsentBytes(val pendingBytes: Long, val sentBytes: Long)

    private class QueuedRequest(val message: HttpRequestMessage, val keepAlive: Boolean)

    private inner class Reply(val request: HttpRequestMessage, private val keepAlive: Boolean) : HttpReply {
        override var isStarted = false
            private set
        override var isFinished = false
            private set

        /** Whether the response is the last one of the connection. */
        var closesAfterResponse = false
            private set

        /** Whether the last byte of the response has been sent to the caller. */
        var isComplete = false
            private set

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
            onSent(channel.writeAndFlush(setConnectionHeader(response)))
        }

        override fun start(status: Int, headers: HttpHeaders) {
            isStarted = true
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            response.headers().set(headers).set(HttpHeaderNames.TRANSFER_ENCODING, "chunked")
            channel.writeAndFlush(setConnectionHeader(response))
        }

        override fun bytes(bytes: ByteArray) {
            channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override suspend fun awaitWritable() {
            while (channel.isActive && !channel.isWritable) writable.await()
        }

        override fun end() {
            isFinished = true
            onSent(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
        }

        override fun abort() {
            isFinished = true
            close(ConnectionCloseReason.ANSWER_ABANDONED)
        }

        private fun <T : HttpResponse> setConnectionHeader(response: T): T = response.also {
            closesAfterResponse = !keepAlive || isClosing()
            if (closesAfterResponse) it.headers().set(HttpHeaderNames.CONNECTION, "close")
        }

        private fun onSent(written: ChannelFuture) {
            written.addListener { isComplete = it.isSuccess }
            if (closesAfterResponse) written.addListener(ChannelFutureListener.CLOSE)
        }
    }

    private companion object {
        val logger = LogManager.getLogger(HttpServerConnection::class.java)

        /** Requests of a connection that may wait for the response to one before them. */
        const val MAX_QUEUED = 16
    }
}
