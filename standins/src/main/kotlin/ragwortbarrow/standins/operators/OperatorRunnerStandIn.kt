package ragwortbarrow.standins.operators

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport

/** Simulates a runner of the operators' platform on loopback. Behaviours apply in order, and the last one repeats. */
class OperatorRunnerStandIn(val id: String, vararg behaviours: RunnerBehaviour) : AutoCloseable {
    @Volatile private var socket = ServerSocket(0, BACKLOG, LOOPBACK)
    private val port = socket.localPort
    private val connections: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    @Volatile private var isClosed = false
    private val isDown = AtomicBoolean()
    private val executor = Executors.newCachedThreadPool()
    private val upcoming = ConcurrentLinkedQueue(behaviours.toList())

    /** Requests that were received, also those that were rejected. */
    val received = ConcurrentLinkedQueue<RunnerRequest>()

    /** Requests whose execution started. */
    val ran = ConcurrentLinkedQueue<RunnerRequest>()

    /** Error messages of connections that the client closed before the response was complete. */
    val abandoned = ConcurrentLinkedQueue<String>()

    /** Whether all responses state that the runner leaves. */
    @Volatile
    var isLeaving = false

    /** Values of the `Server-Limit` headers of all responses, as sent; more than one repeats the header. */
    @Volatile
    var requestLimits: List<String> = emptyList()

    /** The only value of [requestLimits], in requests per second if it is valid; null for no limit. */
    var requestLimit: String?
        get() = requestLimits.singleOrNull()
        set(value) {
            requestLimits = listOfNotNull(value)
        }

    /** Whether a response to a request for another runner is sent again before the response to the next request. */
    @Volatile
    var repeatsMisdirected = false

    /** Bytes of events sent by [RunnerBehaviour.Endless]. */
    val endlessBytes = AtomicLong()

    /** Number of times that the runner went down. */
    val crashes = AtomicInteger()

    val address: String get() = "127.0.0.1:$port"

    init {
        accept(socket)
    }

    private fun accept(listening: ServerSocket) = executor.execute {
        while (!listening.isClosed) {
            val connection = runCatching { listening.accept() }.getOrNull() ?: break
            executor.execute { serve(connection) }
        }
    }

    /** Closes all connections and refuses new ones for [outageMillis]; has no effect while the runner is down. */
    fun crash(outageMillis: Long) {
        if (!isDown.compareAndSet(false, true)) return
        crashes.incrementAndGet()
        socket.close()
        connections.forEach { it.close() }
        executor.execute {
            LockSupport.parkNanos(outageMillis * 1_000_000)
            if (!isClosed) restart()
        }
    }

    private fun restart() {
        socket = ServerSocket().apply {
            reuseAddress = true
            bind(InetSocketAddress(LOOPBACK, port), BACKLOG)
        }
        isDown.set(false)
        accept(socket)
    }

    /** Replaces the remaining behaviours. */
    fun behave(vararg behaviours: RunnerBehaviour) {
        upcoming.clear()
        upcoming.addAll(behaviours)
    }

    override fun close() {
        isClosed = true
        socket.close()
        executor.shutdownNow()
    }

    private fun serve(connection: Socket) = connection.use {
        connections += connection
        try {
            connection.tcpNoDelay = true
            serveRequests(connection, BufferedInputStream(connection.getInputStream()), connection.getOutputStream())
        } catch (failure: IOException) {
            abandoned += failure.message.orEmpty()
        } finally {
            connections -= connection
        }
    }

    private fun serveRequests(connection: Socket, input: InputStream, output: OutputStream) {
        var lateCopy: PendingCopy? = null
        while (true) {
            val request = readRequest(input) ?: return
            if (lateCopy != null && !lateCopy.sendTo(output)) return
            received += request
            val behaviour = if (isMisdirected(request)) null else nextBehaviour(request)
            if (!respond(request, behaviour, connection, output)) return
            val copy = secondCopy(request, behaviour)
            lateCopy = when (val time = copy?.copy?.time) {
                null -> null
                CopyTime.AfterNextRequest -> copy
                CopyTime.WithResponse -> if (copy.copy.endsConnection) return else null
                is CopyTime.AfterResponse -> {
                    LockSupport.parkNanos(time.delayMillis * 1_000_000)
                    if (copy.sendTo(output)) null else return
                }
            }
        }
    }

    /** The [copy] of a response that is about to be sent. */
    private class PendingCopy(private val response: RunnerResponse, val copy: SecondCopy) {
        /** Returns whether the connection stays open. */
        fun sendTo(output: OutputStream): Boolean {
            for ((index, part) in copy.writes(response).withIndex()) {
                if (index > 0) LockSupport.parkNanos(copy.gapMillis * 1_000_000)
                output.send(part)
            }
            return !copy.endsConnection
        }
    }

    private fun secondCopy(request: RunnerRequest, behaviour: RunnerBehaviour?): PendingCopy? = when (behaviour) {
        null -> if (repeatsMisdirected) PendingCopy(misdirected(request), SecondCopy()) else null
        is RunnerBehaviour.Repeated -> PendingCopy(wholeResponse(request, behaviour.first), behaviour.copy)
        else -> null
    }

    private fun isMisdirected(request: RunnerRequest) = (request.header("X-Expect-Instance") ?: id) != id

    private fun runsRequest(behaviour: RunnerBehaviour): Boolean = when (behaviour) {
        RunnerBehaviour.Full -> false
        is RunnerBehaviour.Repeated -> runsRequest(behaviour.first)
        else -> true
    }

    private fun nextBehaviour(request: RunnerRequest): RunnerBehaviour {
        val next = if (upcoming.size > 1) upcoming.remove() else upcoming.peek()
        return if (next is RunnerBehaviour.Chosen) next.choose(request) else next
    }

    private fun readRequest(input: InputStream): RunnerRequest? {
        val first = readLine(input) ?: return null
        val headers = generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0).decodeToString()
        return RunnerRequest(first.split(' ')[0], first.split(' ')[1], headers, body)
    }

    private fun readLine(input: InputStream): String? {
        val bytes = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return bytes.toString().removeSuffix("\r")
            bytes.append(byte.toChar())
        }
    }

    /** Returns whether the connection stays open. [behaviour] is null for a request to another server. */
    private fun respond(
        request: RunnerRequest,
        behaviour: RunnerBehaviour?,
        connection: Socket,
        output: OutputStream,
    ): Boolean {
        if (behaviour == null) {
            output.send(misdirected(request).text)
            return true
        }
        if (runsRequest(behaviour)) ran += request
        when (behaviour) {
            is RunnerBehaviour.Repeatable -> return respondWhole(request, behaviour, output)
            is RunnerBehaviour.Repeated -> {
                val copy = behaviour.copy.takeIf { it.time == CopyTime.WithResponse }
                val appended = copy?.writes(wholeResponse(request, behaviour.first)).orEmpty().joinToString("")
                return respondWhole(request, behaviour.first, output, appended)
            }
            is RunnerBehaviour.Stuck -> sendStuckStream(request, behaviour, output)
            is RunnerBehaviour.Crossed -> {
                output.send(completeResponse(request, 200, "somebody else's", id = "other").text)
                output.send(completeResponse(request, 200, behaviour.body).text)
            }
            is RunnerBehaviour.Unstamped -> output.send(RunnerResponse(200, echo(request), behaviour.body).text)
            is RunnerBehaviour.Truncated, is RunnerBehaviour.CutOff, is RunnerBehaviour.Endless -> {
                sendUnfinished(request, behaviour, output)
                return false
            }
            is RunnerBehaviour.Unframed -> {
                val headers = stamped(request) + ("Content-Type" to behaviour.contentType)
                output.send(RunnerResponse(200, headers, behaviour.body, BodyFraming.CONNECTION_END).text)
                if (behaviour.isReset) reset(connection)
                return false
            }
            is RunnerBehaviour.Crash -> {
                LockSupport.parkNanos(behaviour.delayMillis * 1_000_000)
                crash(behaviour.outageMillis)
                return false
            }
            RunnerBehaviour.NoResponse, is RunnerBehaviour.Chosen -> return false
        }
        return true
    }

    /** Sends a response that the client can only find to be broken off. */
    private fun sendUnfinished(request: RunnerRequest, behaviour: RunnerBehaviour, output: OutputStream) {
        when (behaviour) {
            is RunnerBehaviour.Truncated -> output.send(completeResponse(request, 200, behaviour.body).text.dropLast(1))
            is RunnerBehaviour.CutOff ->
                output.send(completeResponse(request, 200, behaviour.body).text.take(behaviour.sentBytes))
            is RunnerBehaviour.Endless -> sendEndlessStream(request, behaviour, output)
            else -> error("$behaviour sends a finished response")
        }
    }

    /** Resets [connection] when the client has had time to read what was sent. */
    private fun reset(connection: Socket) {
        LockSupport.parkNanos(RESET_DELAY_NANOS)
        connection.setSoLinger(true, 0)
    }

    private fun sendStuckStream(request: RunnerRequest, behaviour: RunnerBehaviour.Stuck, output: OutputStream) {
        output.send(streamResponse(request).head)
        for (event in 1..behaviour.events) output.sendChunk("id: $event\ndata: piece $event\n\n")
        output.sendChunk(":")
        while (true) {
            LockSupport.parkNanos(behaviour.gapMillis * 1_000_000)
            output.sendChunk("x")
        }
    }

    private fun sendEndlessStream(request: RunnerRequest, behaviour: RunnerBehaviour.Endless, output: OutputStream) {
        output.send(streamResponse(request).head)
        val data = "x".repeat(ENDLESS_EVENT_CHARS)
        var event = request.header("Last-Event-Id")?.toInt() ?: 0
        while (endlessBytes.addAndGet(data.length.toLong()) < behaviour.limitBytes) {
            output.sendChunk("id: ${++event}\ndata: $data\n\n")
        }
    }

    /** Sends a complete response and [appended] in the same write; returns whether the connection stays open. */
    private fun respondWhole(
        request: RunnerRequest,
        behaviour: RunnerBehaviour.Repeatable,
        output: OutputStream,
        appended: String = "",
    ): Boolean {
        when (behaviour) {
            is RunnerBehaviour.Stream -> return stream(request, behaviour, output, appended)
            is RunnerBehaviour.Slow -> LockSupport.parkNanos(behaviour.delayMillis * 1_000_000)
            is RunnerBehaviour.Plain, RunnerBehaviour.Full -> Unit
        }
        output.send(wholeResponse(request, behaviour).text + appended)
        return true
    }

    private fun wholeResponse(request: RunnerRequest, behaviour: RunnerBehaviour.Repeatable) = when (behaviour) {
        is RunnerBehaviour.Plain -> completeResponse(request, behaviour.status, behaviour.body)
        is RunnerBehaviour.Slow -> completeResponse(request, 200, behaviour.body)
        is RunnerBehaviour.Stream -> {
            val events = firstEvent(request, behaviour)..behaviour.events
            streamResponse(request, events.joinToString("") { eventText(it, behaviour) })
        }
        RunnerBehaviour.Full -> RunnerResponse(503, echo(request) + ("X-Not-Executed" to "1"), body = "")
    }

    private fun stream(
        request: RunnerRequest,
        behaviour: RunnerBehaviour.Stream,
        output: OutputStream,
        appended: String,
    ): Boolean {
        LockSupport.parkNanos(behaviour.delayMillis * 1_000_000)
        output.send(streamResponse(request).head)
        for ((index, event) in (firstEvent(request, behaviour)..behaviour.events).withIndex()) {
            if (index == behaviour.silentAfter) LockSupport.parkNanos(behaviour.silenceMillis * 1_000_000)
            if (index == behaviour.breakAfter) {
                output.send("9\r\nid: $event\n".take(PARTIAL_EVENT_BYTES))
                return false
            }
            output.sendChunk(eventText(event, behaviour))
            if (behaviour.gapMillis > 0) LockSupport.parkNanos(behaviour.gapMillis * 1_000_000)
        }
        output.send(RunnerResponse.LAST_CHUNK + appended)
        return true
    }

    private fun firstEvent(request: RunnerRequest, behaviour: RunnerBehaviour.Stream): Int =
        (request.header("Last-Event-Id")?.takeUnless { behaviour.ignoresResume }?.toInt() ?: 0) + 1

    private fun eventText(event: Int, behaviour: RunnerBehaviour.Stream) =
        "id: $event\ndata: piece $event${behaviour.padding}\n\n"

    private fun streamResponse(request: RunnerRequest, body: String = "") =
        RunnerResponse(200, stamped(request) + ("Content-Type" to "text/event-stream"), body, BodyFraming.CHUNKED)

    private fun completeResponse(request: RunnerRequest, status: Int, body: String, id: String? = null) =
        RunnerResponse(status, stamped(request, id), body)

    private fun misdirected(request: RunnerRequest) =
        RunnerResponse(421, echo(request) + ("X-Instance-Id" to id), body = "")

    private fun stamped(request: RunnerRequest, id: String? = null) =
        echo(request, id) + (RunnerResponse.SERVER_STAMP to "stamp-${this.id}")

    private fun echo(request: RunnerRequest, id: String? = null): List<Pair<String, String>> = buildList {
        add(RunnerResponse.REQUEST_ID to (id ?: request.header(RunnerResponse.REQUEST_ID).toString()))
        if (isLeaving) add("Server-Leaving" to "1")
        requestLimits.forEach { add("Server-Limit" to it) }
    }

    private companion object {
        fun OutputStream.sendChunk(text: String) = send(RunnerResponse.chunk(text))

        fun OutputStream.send(text: String) {
            write(text.encodeToByteArray())
            flush()
        }

        const val BACKLOG = 256
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
        const val PARTIAL_EVENT_BYTES = 8
        const val ENDLESS_EVENT_CHARS = 8_000
        const val RESET_DELAY_NANOS = 50_000_000L
    }
}
