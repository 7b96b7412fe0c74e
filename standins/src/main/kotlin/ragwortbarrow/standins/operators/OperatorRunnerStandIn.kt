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
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport

/** A request that a runner received. */
class RunnerRequest(
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: String,
    val atNanos: Long = System.nanoTime(),
) {
    fun header(name: String): String? = headers[name.lowercase()]
}

/** How a runner responds to a request. */
sealed interface RunnerBehaviour {
    /** A complete response with this body. */
    data class Plain(val body: String, val status: Int = 200) : RunnerBehaviour

    /** A complete response after [delayMillis]. */
    data class Slow(val body: String, val delayMillis: Long) : RunnerBehaviour

    /**
     * A stream of [events] events, [gapMillis] apart, that begins after [delayMillis]; if [breakAfter] is set, the
     * connection breaks after that many events. If [silentAfter] is set, nothing is sent for [silenceMillis] after that
     * many events. With [ignoresResume] it begins at the first event in any case. [padding] follows the text of each
     * event.
     */
    data class Stream(
        val events: Int,
        val gapMillis: Long = 1,
        val breakAfter: Int? = null,
        val delayMillis: Long = 0,
        val silentAfter: Int? = null,
        val silenceMillis: Long = 0,
        val ignoresResume: Boolean = false,
        val padding: String = "",
    ) : RunnerBehaviour

    /** Selects a behaviour for each request. */
    class Chosen(val choose: (RunnerRequest) -> RunnerBehaviour) : RunnerBehaviour

    /** Rejects the request without executing it. */
    data object Full : RunnerBehaviour

    /**
     * Rejects the request without executing it, and sends the rejection again when the next request has arrived on the
     * connection, before the response to that one: as it was, or without its id.
     */
    data class RepeatedRefusal(val repeatsId: Boolean) : RunnerBehaviour

    /** Closes the connection without a response. */
    data object NoResponse : RunnerBehaviour

    /** Sends a complete response to a different request first, then the correct one. */
    data class Crossed(val body: String) : RunnerBehaviour

    /**
     * A complete response whose first [copiedBytes] are sent again on the same connection when the next request has
     * arrived there, before the response to that one.
     */
    data class LateCopy(val body: String, val status: Int = 200, val copiedBytes: Int = Int.MAX_VALUE) :
        RunnerBehaviour

    /** A stream of [events] events that then sends only comment bytes, one every [gapMillis], and never ends. */
    data class Stuck(val events: Int, val gapMillis: Long = 50) : RunnerBehaviour

    /** A stream whose events, of 8 KB each, only end when the client closes or [limitBytes] have been sent. */
    data class Endless(val limitBytes: Long = 64L * 1024 * 1024) : RunnerBehaviour

    /** A response with neither a length nor chunks, which ends with its connection: closed, or reset if [isReset]. */
    data class Unframed(
        val body: String,
        val contentType: String = "text/event-stream",
        val isReset: Boolean = false,
    ) : RunnerBehaviour

    /** A successful response without the `X-Server-Stamp` header. */
    data class Unstamped(val body: String) : RunnerBehaviour

    /** A response that is cut off within its body. */
    data class Truncated(val body: String) : RunnerBehaviour

    /** The first [sentBytes] of a complete response, after which the connection is closed. */
    data class CutOff(val body: String, val sentBytes: Int) : RunnerBehaviour

    /** Closes all connections and refuses new ones for [outageMillis], as a process that ends and starts again. */
    data class Crash(val outageMillis: Long) : RunnerBehaviour
}

/** Simulates a runner of the operators' platform on loopback. Behaviours apply in order, and the last one repeats. */
class OperatorRunnerStandIn(val id: String, vararg behaviours: RunnerBehaviour) : AutoCloseable {
    @Volatile private var socket = ServerSocket(0, BACKLOG, LOOPBACK)
    private val port = socket.localPort
    private val connections: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    @Volatile private var isClosed = false
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

    /** Whether a response to a request for another runner is sent again before the response to the next request. */
    @Volatile
    var repeatsMisdirected = false

    /** Bytes of events sent by [RunnerBehaviour.Endless]. */
    val endlessBytes = AtomicLong()

    /** Number of [RunnerBehaviour.Crash]es. */
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

    private fun crash(outageMillis: Long) {
        crashes.incrementAndGet()
        socket.close()
        connections.forEach { it.close() }
        LockSupport.parkNanos(outageMillis * 1_000_000)
        if (isClosed) return
        socket = ServerSocket().apply {
            reuseAddress = true
            bind(InetSocketAddress(LOOPBACK, port), BACKLOG)
        }
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
        var lateCopy: String? = null
        while (true) {
            val request = readRequest(input) ?: return
            lateCopy?.let { output.send(it) }
            received += request
            val behaviour = if (isMisdirected(request)) null else nextBehaviour(request)
            if (!respond(request, behaviour, connection, output)) return
            lateCopy = when (behaviour) {
                null -> misdirected(request).takeIf { repeatsMisdirected }
                is RunnerBehaviour.LateCopy ->
                    completeResponse(request, behaviour.status, behaviour.body).take(behaviour.copiedBytes)
                is RunnerBehaviour.RepeatedRefusal -> refusal(if (behaviour.repeatsId) echo(request) else "")
                else -> null
            }
        }
    }

    private fun isMisdirected(request: RunnerRequest) = (request.header("X-Expect-Instance") ?: id) != id

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
            output.send(misdirected(request))
            return true
        }
        if (behaviour != RunnerBehaviour.Full && behaviour !is RunnerBehaviour.RepeatedRefusal) ran += request
        when (behaviour) {
            is RunnerBehaviour.Plain -> output.send(completeResponse(request, behaviour.status, behaviour.body))
            is RunnerBehaviour.LateCopy -> output.send(completeResponse(request, behaviour.status, behaviour.body))
            is RunnerBehaviour.Stuck -> sendStuckStream(request, behaviour, output)
            is RunnerBehaviour.Slow -> {
                LockSupport.parkNanos(behaviour.delayMillis * 1_000_000)
                output.send(completeResponse(request, 200, behaviour.body))
            }
            is RunnerBehaviour.Stream -> return stream(request, behaviour, output)
            RunnerBehaviour.Full, is RunnerBehaviour.RepeatedRefusal -> output.send(refusal(echo(request)))
            is RunnerBehaviour.Crossed -> {
                output.send(completeResponse(request, 200, "somebody else's", id = "other"))
                output.send(completeResponse(request, 200, behaviour.body))
            }
            is RunnerBehaviour.Unstamped -> output.send(
                "HTTP/1.1 200 OK\r\n${echo(request)}Content-Length: ${behaviour.body.length}\r\n\r\n${behaviour.body}",
            )
            is RunnerBehaviour.Truncated, is RunnerBehaviour.CutOff, is RunnerBehaviour.Endless -> {
                sendUnfinished(request, behaviour, output)
                return false
            }
            is RunnerBehaviour.Unframed -> {
                output.send(
                    "HTTP/1.1 200 OK\r\n${echo(request)}X-Server-Stamp: stamp-$id\r\n" +
                        "Content-Type: ${behaviour.contentType}\r\n\r\n${behaviour.body}",
                )
                if (behaviour.isReset) reset(connection)
                return false
            }
            is RunnerBehaviour.Crash -> {
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
            is RunnerBehaviour.Truncated -> output.send(completeResponse(request, 200, behaviour.body).dropLast(1))
            is RunnerBehaviour.CutOff ->
                output.send(completeResponse(request, 200, behaviour.body).take(behaviour.sentBytes))
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
        output.send(streamHead(request))
        for (event in 1..behaviour.events) output.sendChunk("id: $event\ndata: piece $event\n\n")
        output.sendChunk(":")
        while (true) {
            LockSupport.parkNanos(behaviour.gapMillis * 1_000_000)
            output.sendChunk("x")
        }
    }

    private fun sendEndlessStream(request: RunnerRequest, behaviour: RunnerBehaviour.Endless, output: OutputStream) {
        output.send(streamHead(request))
        val data = "x".repeat(ENDLESS_EVENT_CHARS)
        var event = request.header("Last-Event-Id")?.toInt() ?: 0
        while (endlessBytes.addAndGet(data.length.toLong()) < behaviour.limitBytes) {
            output.sendChunk("id: ${++event}\ndata: $data\n\n")
        }
    }

    private fun streamHead(request: RunnerRequest) =
        "HTTP/1.1 200 OK\r\n${echo(request)}X-Server-Stamp: stamp-$id\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"

    private fun stream(request: RunnerRequest, behaviour: RunnerBehaviour.Stream, output: OutputStream): Boolean {
        LockSupport.parkNanos(behaviour.delayMillis * 1_000_000)
        output.send(streamHead(request))
        val first = (request.header("Last-Event-Id")?.takeUnless { behaviour.ignoresResume }?.toInt() ?: 0) + 1
        for ((index, event) in (first..behaviour.events).withIndex()) {
            if (index == behaviour.silentAfter) LockSupport.parkNanos(behaviour.silenceMillis * 1_000_000)
            if (index == behaviour.breakAfter) {
                output.send("9\r\nid: $event\n".take(PARTIAL_EVENT_BYTES))
                return false
            }
            output.sendChunk("id: $event\ndata: piece $event${behaviour.padding}\n\n")
            if (behaviour.gapMillis > 0) LockSupport.parkNanos(behaviour.gapMillis * 1_000_000)
        }
        output.send("0\r\n\r\n")
        return true
    }

    private fun completeResponse(request: RunnerRequest, status: Int, body: String, id: String? = null): String {
        val echoed = if (id == null) echo(request) else "X-Request-Id: $id\r\n"
        return "HTTP/1.1 $status Status\r\n${echoed}X-Server-Stamp: stamp-${this.id}\r\n" +
            "Content-Length: ${body.length}\r\n\r\n$body"
    }

    private fun misdirected(request: RunnerRequest) =
        "HTTP/1.1 421 Misdirected Request\r\n${echo(request)}X-Instance-Id: $id\r\nContent-Length: 0\r\n\r\n"

    private fun refusal(idHeader: String) =
        "HTTP/1.1 503 Service Unavailable\r\n${idHeader}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

    private fun echo(request: RunnerRequest) =
        "X-Request-Id: ${request.header("X-Request-Id")}\r\n" + if (isLeaving) "Server-Leaving: 1\r\n" else ""

    private fun OutputStream.sendChunk(text: String) = send("${text.length.toString(HEX)}\r\n$text\r\n")

    private fun OutputStream.send(text: String) {
        write(text.encodeToByteArray())
        flush()
    }

    private companion object {
        const val BACKLOG = 256
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
        const val HEX = 16
        const val PARTIAL_EVENT_BYTES = 8
        const val ENDLESS_EVENT_CHARS = 8_000
        const val RESET_DELAY_NANOS = 50_000_000L
    }
}
