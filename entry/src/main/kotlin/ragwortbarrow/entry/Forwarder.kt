package ragwortbarrow.entry

import kotlinx.coroutines.withTimeoutOrNull
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.LatencyEstimates
import ragwortbarrow.core.placement.OnlinePlacement
import ragwortbarrow.core.placement.Placement
import ragwortbarrow.core.placement.PlacementRequest
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.traffic.CustomerAccount
import ragwortbarrow.core.traffic.Route
import ragwortbarrow.core.traffic.RouteKind
import ragwortbarrow.http.HttpFailure
import ragwortbarrow.http.HttpReply
import ragwortbarrow.http.HttpRequestMessage
import kotlin.random.Random

/** One admitted request of a caller on its way to a backend server. */
class OnlineRequest(
    val message: HttpRequestMessage,
    val head: CallerRequestHead,
    val route: Route,
    val customer: CustomerAccount?,
    val arrivedNanos: Long,
) {
    /** How long the caller may be kept waiting in all. */
    val limitMillis: Long = minOf(head.deadlineMillis ?: Long.MAX_VALUE, route.timeoutMillis)
}

/** How a request ended, for the log. */
data class ForwardResult(
    val status: Int,
    val code: ResultCode?,
    val server: BackendServerId?,
    val sends: Int,
    val reason: String,
)

/** Passes online requests on to backend servers and their answers back, as they come. */
class Forwarder(
    private val parts: Parts,
    private val protocol: EntryProtocol,
    private val timer: TimerService,
    private val metrics: EntryMetrics,
    private val log: DecisionLog,
) {
    class Parts(
        val board: ServerTracker,
        val placement: OnlinePlacement,
        val holds: LatencyEstimates,
        val engines: EngineCalls,
    )

    /** Asked to free slots for an online request that would have to wait at a server. */
    var makeRoom: (BackendServer) -> Unit = {}

    suspend fun forward(request: OnlineRequest, reply: HttpReply): ForwardResult {
        val progress = Progress(request, reply)
        val leftMillis = request.limitMillis - elapsedMillis(request)
        val ended = withTimeoutOrNull(leftMillis.coerceAtLeast(0)) { progress.run() }
        return ended ?: progress.timedOut()
    }

    private fun elapsedMillis(request: OnlineRequest) = (timer.nanoTime() - request.arrivedNanos) / NANOS_PER_MILLI

    private sealed interface Attempt {
        /** The caller has its answer. */
        data class Answered(val status: Int) : Attempt

        /** The server did not run the request. */
        data class NotRun(val reason: String) : Attempt

        /** The server may have run the request, or part of it. */
        data class Broken(val reason: String) : Attempt
    }

    private inner class Progress(private val request: OnlineRequest, private val reply: HttpReply) {
        private val route = request.route
        private val service = route.service(Random.nextDouble())
        private val excluded = HashSet<BackendServerId>()
        private var lastEventId = request.head.lastEventId
        private var sends = 0
        private var possibleRuns = 0
        private var lastServer: BackendServerId? = null
        private var lastReason = ""

        suspend fun run(): ForwardResult {
            while (true) {
                val server = when (val placed = place()) {
                    is Placement.Send -> placed.server.also { if (placed.waitMillis > 0) makeRoom(it) }
                    is Placement.Full -> return giveUp(ResultCode.QUEUE_FULL, placed.retryAfterMillis)
                    is Placement.NoServer -> return giveUp(ResultCode.NO_BACKEND_SERVER, placed.retryAfterMillis)
                }
                excluded += server.id
                lastServer = server.id
                sends++
                when (val attempt = attempt(server)) {
                    is Attempt.Answered -> return ForwardResult(attempt.status, null, server.id, sends, "answered")
                    is Attempt.NotRun -> lastReason = attempt.reason
                    is Attempt.Broken -> {
                        possibleRuns++
                        lastReason = attempt.reason
                        if (!mayGoOn()) return giveUp(ResultCode.BACKEND_FAILED_UNKNOWN, null)
                    }
                }
                if (sends >= MAX_SENDS) return giveUp(ResultCode.BACKEND_FAILED_NOT_RUN, RETRY_MILLIS)
            }
        }

        fun timedOut(): ForwardResult {
            lastReason = "no whole answer within ${request.limitMillis} ms"
            return giveUp(ResultCode.BACKEND_TIMEOUT, null)
        }

        private fun placementRequest(): PlacementRequest {
            val elapsedMillis = elapsedMillis(request)
            return PlacementRequest(
                service = service,
                remainingTargetMillis = (route.targetLatencyMillis - elapsedMillis).toDouble(),
                remainingDeadlineMillis = request.limitMillis - elapsedMillis,
                excludedServers = excluded,
                isRefusable = possibleRuns == 0,
            )
        }

        private fun place(): Placement {
            val placed = parts.placement.place(placementRequest())
            log.record(
                "route",
                "request_id" to request.head.requestId,
                "route" to route.name,
                "customer" to request.customer?.id,
                "service" to service,
                "candidates" to parts.board.eligible(service, excluded).size,
                "chosen" to (placed as? Placement.Send)?.server?.id,
                "load" to (placed as? Placement.Send)?.let { parts.board.occupancy(it.server.id).total },
                "wait_ms" to when (placed) {
                    is Placement.Send -> placed.waitMillis.toLong()
                    is Placement.Full -> placed.waitMillis.toLong()
                    is Placement.NoServer -> null
                },
                "outcome" to placed::class.simpleName,
            )
            return placed
        }

        private suspend fun attempt(server: BackendServer): Attempt {
            val leftMillis = request.limitMillis - elapsedMillis(request)
            val head = BackendRequestHead(server.id, leftMillis, request.customer?.id?.value, lastEventId)
            val sentNanos = timer.nanoTime()
            val waitMillis = parts.placement.waitMillis(server)
            val message = protocol.backendRequest(request.message, head)
            return try {
                parts.engines.run(
                    server,
                    message,
                    request.head.requestId,
                    isBatch = false,
                    onlyFresh = !route.isIdempotent && !route.isResumable,
                    waitMillis = waitMillis,
                    limits = headLimits(waitMillis),
                ) { answer ->
                    if (waitMillis <= 0) parts.holds.recordFirstByte(service, millisSince(sentNanos))
                    relay(answer, server).also {
                        if (it is Attempt.Answered && it.status < 300) {
                            parts.holds.recordDuration(service, millisSince(sentNanos))
                            parts.board.recordSuccess(server.id)
                        }
                        if (it !is Attempt.NotRun) parts.board.recordOnlineOutcome(server.id, isSound(it))
                    }
                }
            } catch (left: LeftQueue) {
                log.record(
                    "left_queue",
                    "request_id" to request.head.requestId,
                    "server" to server.id,
                    "after_ms" to left.afterMillis,
                    "load" to parts.board.occupancy(server.id).total,
                )
                Attempt.Broken(left.message.orEmpty())
            } catch (failure: HttpFailure.ConnectFailed) {
                Attempt.NotRun("connect: ${failure.message}")
            } catch (failure: HttpFailure.Broken) {
                parts.board.recordOnlineOutcome(server.id, isAnswered = false)
                Attempt.Broken("broken: ${failure.message}")
            }
        }

        private fun isSound(attempt: Attempt) = attempt is Attempt.Answered && attempt.status < SERVER_ERRORS

        /**
         * A server that is cut off or stuck answers nothing. A request that may be sent again goes to another server
         * while that can still be in time; any other one waits.
         */
        private fun headLimits(waitMillis: Double): HeadLimits {
            val mayRepeat = route.isResumable || route.isIdempotent
            if (!mayRepeat || possibleRuns + 1 >= route.maxAttempts) return HeadLimits()
            val silenceMillis =
                if (route.isResumable) SILENCE_MILLIS else maxOf(route.targetLatencyMillis, SILENCE_MILLIS / 2)
            return HeadLimits(
                limitMillis = silenceMillis + waitMillis.toLong(),
                patienceMillis = parts.placement.firstByteTimeoutMillis(service, waitMillis),
                mayLeave = { parts.placement.hasFreeAlternative(placementRequest()) },
            )
        }

        private suspend fun relay(answer: EngineAnswer, server: BackendServer): Attempt {
            val head = answer.head
            return when {
                head.isNotRun -> {
                    answer.body.rest(MAX_WHOLE_BYTES)
                    parts.board.block(server.id, FULL_PAUSE_MILLIS)
                    Attempt.NotRun("server answered ${head.status}, not run")
                }
                head.status in 200..299 && !head.hasServerStamp -> throw HttpFailure.Broken("the answer bears no stamp")
                head.isEventStream && head.status in 200..299 -> stream(answer)
                else -> whole(answer)
            }
        }

        private suspend fun whole(answer: EngineAnswer): Attempt {
            val body = answer.body.rest(MAX_WHOLE_BYTES)
            val mayRepeat =
                answer.head.status >= SERVER_ERRORS && route.isIdempotent && possibleRuns + 1 < route.maxAttempts
            if (mayRepeat) return Attempt.Broken("server answered ${answer.head.status}")
            if (reply.isStarted) return Attempt.Broken("server answered ${answer.head.status} to a resumed stream")
            reply.whole(answer.head.status, protocol.endToEndHeaders(answer.response), body)
            return Attempt.Answered(answer.head.status)
        }

        private suspend fun stream(answer: EngineAnswer): Attempt {
            val splitter = EventSplitter()
            if (!reply.isStarted) reply.start(answer.head.status, protocol.endToEndHeaders(answer.response))
            while (true) {
                val bytes = nextBytes(answer) ?: break
                for (event in splitter.add(bytes)) {
                    if (lastEventId ==
                        null
                    ) {
                        metrics.recordFirstEvent(route.name, timer.nanoTime() - request.arrivedNanos)
                    }
                    if (!pass(event)) return Attempt.Broken("event ${event.id} does not follow event $lastEventId")
                }
            }
            if (splitter.hasPartialEvent) return Attempt.Broken("the stream ended within an event")
            reply.end()
            return Attempt.Answered(answer.head.status)
        }

        /** A stream that may be resumed elsewhere is not waited for when its server has fallen silent. */
        private suspend fun nextBytes(answer: EngineAnswer): ByteArray? {
            if (!route.isResumable) return answer.body.next()
            var ended = false
            val bytes = withTimeoutOrNull(SILENCE_MILLIS) { answer.body.next().also { ended = it == null } }
            if (bytes == null && !ended) throw HttpFailure.Broken("no event for $SILENCE_MILLIS ms")
            return bytes
        }

        /** Passes one event on; false if events are missing before it. */
        private fun pass(event: StreamEvent): Boolean {
            val last = lastEventId
            if (event.id != null && last != null) {
                if (event.id <= last) return true
                if (event.id != last + 1) return false
            }
            reply.bytes(event.bytes)
            if (event.id != null) lastEventId = event.id
            return true
        }

        private fun mayGoOn(): Boolean = when {
            route.kind == RouteKind.STREAMING && !route.isResumable -> false
            route.isIdempotent || route.isResumable -> possibleRuns < route.maxAttempts
            else -> false
        }

        private fun giveUp(code: ResultCode, retryAfterMillis: Long?): ForwardResult {
            val hasRun = possibleRuns > 0 || code == ResultCode.BACKEND_TIMEOUT
            val final = if (hasRun &&
                code.httpStatus == SERVICE_UNAVAILABLE
            ) {
                ResultCode.BACKEND_FAILED_UNKNOWN
            } else {
                code
            }
            val reason = lastReason.ifEmpty { code.name }
            if (reply.isStarted) {
                reply.abort()
            } else {
                val execution = if (hasRun) Execution.UNKNOWN else Execution.NOT_RUN
                reply.refuse(
                    when (execution) {
                        Execution.NOT_RUN -> ServingError.Unavailable(final, reason, retryAfterMillis)
                        else -> ServingError.BackendFailed(final, reason, execution)
                    },
                )
            }
            metrics.countRefusal(final)
            return ForwardResult(final.httpStatus, final, lastServer, sends, reason)
        }
    }

    private fun millisSince(nanos: Long): Double = (timer.nanoTime() - nanos) / NANOS_PER_MILLI.toDouble()

    private companion object {
        /** Backend servers that are tried for one request, those that did not run it included. */
        const val MAX_SENDS = 4

        /** An answer that is not a stream is held until it is whole; longer ones are failures. */
        const val MAX_WHOLE_BYTES = 16 * 1024 * 1024

        /** A server that said that it is full gets nothing new for this long; about one slot becomes free meanwhile. */
        const val FULL_PAUSE_MILLIS = 60L

        /** Silence after which a resumable stream goes on elsewhere; twice the pause that callers expect. */
        const val SILENCE_MILLIS = 600L

        const val RETRY_MILLIS = 1_000L
        const val SERVER_ERRORS = 500
        const val SERVICE_UNAVAILABLE = 503
    }
}
