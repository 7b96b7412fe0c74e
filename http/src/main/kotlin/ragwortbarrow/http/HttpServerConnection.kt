package ragwortbarrow.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
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
import io.netty.handler.codec.http.HttpResponseEncoder
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
import ragwortbarrow.core.callers.CallerMemory
import ragwortbarrow.core.callers.EvictionReason
import ragwortbarrow.core.time.ChangeSignal
import ragwortbarrow.core.time.NANOS_PER_MILLI
import java.util.concurrent.TimeUnit

/** A server-side connection: reads complete requests and handles them one at a time, in order. */
internal class HttpServerConnection(
    private val channel: Channel,
    private val scope: CoroutineScope,
    private val limits: () -> HttpServerLimits,
    private val isClosing: () -> Boolean,
    private val onUnanswered: (UnansweredRequest) -> Unit,
    private val onRefused: (CallerRefusal) -> Unit,
    private val handler: HttpHandler,
) : ChannelInboundHandlerAdapter() {
    /** Null after a refusal, since it may hold many lines of a head. */
    private var decoder: StrictRequestDecoder? = null
    private var requestHead: HttpRequest? = null
    private var body = BodyBuffer()

    /** What is held for this connection; null if there is no account. */
    private var account: CallerMemory.Holder? = null

    /** Cost of what the decoder holds of a head, of the head of the body that arrives, and of the queued requests. */
    private var undecodedBytes = 0L
    private var headBytes = 0L
    private var queuedBytes = 0L

    /** What was left to decode after the last part of a request; null if none has been decoded since the last read. */
    private var bytesAfterPart: Int? = null
    private var handlerJob: Job? = null
    private var currentReply: Reply? = null
    private var closeReason: ConnectionCloseReason? = null

    /** The status that ends the connection when the requests before it have been answered. */
    private var refusal: HttpResponseStatus? = null
    private var isRefusalSent = false
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

    /** Adds the handlers of this connection, which is held in [memory] if there is one. */
    fun addTo(pipeline: ChannelPipeline, memory: CallerMemory?) {
        val added = StrictRequestDecoder(limits()).also { decoder = it }
        pipeline.addLast(UndecodedBytesMeter(), added, HttpResponseEncoder(), this)
        if (memory == null) return
        val opened = memory.open(::evict)
        account = opened
        if (opened != null) {
            channel.closeFuture().addListener { opened.close() }
        } else {
            onRefused(CallerRefusal.CONNECTIONS)
            close(ConnectionCloseReason.REFUSED)
        }
    }

    override fun channelActive(context: ChannelHandlerContext) = scheduleIdleClose()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            // Bytes that the decoder held when it was removed follow as they are.
            if (message is HttpObject) read(message)
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
        body = BodyBuffer()
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
        bytesAfterPart = decoder?.undecodedBytes
        if (message.decoderResult().isFailure) {
            refuse(HttpResponseStatus.BAD_REQUEST)
            return
        }
        if (message is HttpRequest) {
            requestHead = message
            headBytes = RequestCost.ofHead(message)
            body = BodyBuffer()
            schedule(limits().headerTimeoutMillis) { close(ConnectionCloseReason.REQUEST_TIMEOUT) }
            if (HttpUtil.is100ContinueExpected(message)) {
                channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            }
        }
        val head = requestHead
        if (message is HttpContent && head != null) {
            if (body.sizeBytes + message.content().readableBytes() > limits().maxBodyBytes) {
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
                return
            }
            body.add(message.content())
            updateAccount()
            // The account may have refused this request.
            if (message is LastHttpContent && refusal == null && channel.isActive) enqueue(head)
        }
    }

    /** Accounts for what has arrived of requests that have not begun. Any connection may be evicted, also this one. */
    private fun updateAccount() {
        val bufferBytes = if ((decoder?.undecodedBytes ?: 0) > 0) HttpServer.MAX_READ_BYTES else 0
        account?.setReclaimable(undecodedBytes + bufferBytes + headBytes + body.allocatedBytes + queuedBytes)
    }

    /** Releases what is held for requests that have not begun; the first of them is refused and has not run. */
    private fun evict(reason: EvictionReason) {
        when (reason) {
            EvictionReason.CONNECTIONS -> {
                onRefused(CallerRefusal.CONNECTIONS)
                close(ConnectionCloseReason.REFUSED)
            }
            EvictionReason.MEMORY -> {
                onRefused(CallerRefusal.MEMORY)
                val holder = account
                if (holder == null || holder.reclaimableBytes == 0L) {
                    // The caller does not take its response.
                    holder?.close()
                    close(ConnectionCloseReason.REFUSED)
                } else {
                    queuedRequests.drop(1).forEach { reportUnbegun(it) }
                    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
                }
            }
        }
    }

    private fun reportUnbegun(request: QueuedRequest) =
        onUnanswered(UnansweredRequest(request.message, ConnectionCloseReason.REFUSED, isStarted = false))

    private fun enqueue(head: HttpRequest) {
        requestHead = null
        timeout?.cancel(false)
        val message = HttpRequestMessage(head.method().name(), head.uri(), head.headers(), body.toByteArray())
        val request = QueuedRequest(message, HttpUtil.isKeepAlive(head), headBytes + body.sizeBytes)
        queuedRequests += request
        queuedBytes += request.heldBytes
        body = BodyBuffer()
        headBytes = 0
        runNext()
        limitReading()
        updateAccount()
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
        queuedBytes -= next.heldBytes
        updateAccount()
        account?.setPinned(next.heldBytes)
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
            account?.setPinned(0)
            if (reply.isComplete) currentReply = null else reply.holdUntilSent(next.heldBytes)
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
        // Queued requests before an invalid one can still be refused for lack of memory.
        val replacesRefusal = status == HttpResponseStatus.SERVICE_UNAVAILABLE && queuedRequests.isNotEmpty()
        if (refusal != null && !replacesRefusal) return
        refusal = status
        requestHead = null
        body = BodyBuffer()
        undecodedBytes = 0
        headBytes = 0
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
            queuedRequests.clear()
            queuedBytes = 0
        }
        if (channel.isActive) decoder?.let { channel.pipeline().remove(it) }
        decoder = null
        updateAccount()
        timeout?.cancel(false)
        runNext()
    }

    /**
     * Ends the responses with [status]. What the caller still sends is discarded until it closes the connection or its
     * time for a request is over: closing the connection with unread bytes resets it, and the refusal may be lost.
     */
    private fun refuseAndClose(status: HttpResponseStatus) {
        if (isRefusalSent) return
        isRefusalSent = true
        closeReason = ConnectionCloseReason.INVALID_REQUEST
        lastUseNanos = System.nanoTime()
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, REFUSAL_RETRY_SECONDS)
        }
        channel.writeAndFlush(response).addListener { (channel as DuplexChannel).shutdownOutput() }
        schedule(limits().headerTimeoutMillis) { close(ConnectionCloseReason.INVALID_REQUEST) }
    }

    /** The size of all unsent buffers, and how much of the first one has been sent. */
    private data class UnsentBytes(val pendingBytes: Long, val sentBytes: Long)

    private class QueuedRequest(val message: HttpRequestMessage, val keepAlive: Boolean, val heldBytes: Long)

    /** Accounts for the lines that the decoder holds until a head or its trailers are complete. */
    private inner class UndecodedBytesMeter : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (refusal != null || message !is ByteBuf) {
                ReferenceCountUtil.release(message)
                return
            }
            bytesAfterPart = null
            val isStart = isIdle && undecodedBytes == 0L
            // Bodies with a length are decoded at once.
            val isPlainBody = requestHead?.let { !HttpUtil.isTransferEncodingChunked(it) } == true
            val linesBytes = if (isPlainBody) 0 else RequestCost.ofLines(message)
            context.fireChannelRead(message)
            if (refusal != null || !channel.isActive) return
            undecodedBytes = when (bytesAfterPart) {
                null -> undecodedBytes + linesBytes
                0 -> 0
                else -> linesBytes
            }.coerceAtMost(RequestCost.ofMostLines(limits().maxHeaderBytes))
            if (isStart && bytesAfterPart == null) {
                schedule(limits().headerTimeoutMillis) { close(ConnectionCloseReason.REQUEST_TIMEOUT) }
            }
            updateAccount()
        }
    }

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
        private var heldUntilSentBytes = 0L

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
            onSent(send(setConnectionHeader(response), body.size))
        }

        override fun start(status: Int, headers: HttpHeaders) {
            isStarted = true
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            response.headers().set(headers).set(HttpHeaderNames.TRANSFER_ENCODING, "chunked")
            channel.writeAndFlush(setConnectionHeader(response))
        }

        override fun bytes(bytes: ByteArray) {
            send(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), bytes.size)
        }

        private fun send(message: HttpObject, sizeBytes: Int): ChannelFuture {
            val written = channel.writeAndFlush(message)
            val unsentBytes = sizeBytes.toLong()
            if (!written.isDone) {
                account?.addUnsent(unsentBytes)
                written.addListener { account?.addUnsent(-unsentBytes) }
            }
            return written
        }

        override fun tryHold(bytes: Long): Boolean = account?.tryPin(bytes) ?: true

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

        /** The request stays in memory until its response is complete, to be reported as unanswered otherwise. */
        fun holdUntilSent(bytes: Long) {
            account?.addUnsent(bytes)
            heldUntilSentBytes = bytes
        }

        private fun onSent(written: ChannelFuture) {
            written.addListener {
                isComplete = it.isSuccess
                account?.addUnsent(-heldUntilSentBytes)
                if (isComplete && handlerJob == null && currentReply === this) currentReply = null
            }
            if (closesAfterResponse) written.addListener(ChannelFutureListener.CLOSE)
        }
    }

    private companion object {
        val logger = LogManager.getLogger(HttpServerConnection::class.java)

        /** Requests of a connection that may wait for the response to one before them. */
        const val MAX_QUEUED = 16

        /** `Retry-After` of a request for which there was no memory. */
        const val REFUSAL_RETRY_SECONDS = "1"
    }
}
