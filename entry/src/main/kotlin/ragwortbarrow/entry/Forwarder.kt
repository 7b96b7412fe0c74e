package ragwortbarrow.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
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
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import ragwortbarrow.core.traffic.CustomerAccount
import ragwortbarrow.core.traffic.Route
import ragwortbarrow.http.HttpAnswer
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
    val startNanos: Long,
) {
    /** Total time allowed for the request: the caller's deadline or the route's timeout, whichever is shorter. */
    val limitMillis: Long = minOf(head.deadlineMillis ?: Long.MAX_VALUE, route.timeoutMillis)
}

/** Outcome of a request, for logs and metrics. */
data class ForwardResult(
    val status: Int,
    val code: ResultCode?,
    val server: BackendServerId?,
    val sendCount: Int,
    val reason: String,
)

/** Forwards online requests to backend servers and streams the responses back to callers. */
class Forwarder(
    private val components: Components,
    private val protocol: EntryProtocol,
    private val timer: TimerService,
    private val metrics: EntryMetrics,
    private val log: DecisionLog,
) {
    class Components(
        val tracker: ServerTracker,
        val placement: OnlinePlacement,
        val latencies: LatencyEstimates,
        val backendCalls: BackendCalls,
        val quarantine: PromptQuarantine,
    )

    /** Called when an online request would have to wait for a slot on a server. */
    var onSlotNeeded: (BackendServer) -> Unit = {}

    suspend fun forward(request: OnlineRequest, reply: HttpReply): ForwardResult {
        val forwarding = Forwarding(request, reply)
        val remainingMillis = request.limitMillis - elapsedMillis(request)
        try {
            val result = withTimeoutOrNull(remainingMillis.coerceAtLeast(0)) { forwarding.run() }
            return result ?: forwarding.failWithTimeout()
        } finally {
            forwarding.close()
        }
    }

    private fun elapsedMillis(request: OnlineRequest) = (timer.nanoTime() - request.startNanos) / NANOS_PER_MILLI

    private sealed interface Attempt {
        /** The response has been sent to the caller. */
        data class Answered(val status: Int) : Attempt

        /** The server did not run the request. */
        data class NotRun(val reason: String) : Attempt

        /** The server may have run the request or a part of it. */
        data class Broken(val reason: String) : Attempt

        /** The server fell silent within its stream, and another one goes on with it in [call]. */
        class Moved(val call: BackendCall, val reason: String) : Attempt
    }

    private inner class Forwarding(private val request: OnlineRequest, private val reply: HttpReply) {
        private val route = request.route
        private val service = route.service(Random.nextDouble())
        private val excluded = HashSet<BackendServerId>()
        private var lastEventId = request.head.lastEventId

        /** Whether the caller has data whose place in the stream no id tells, so that nothing can follow a break. */
        private var hasUnnumberedData = false
        private var sendCount = 0

        /** The response with which another server goes on with the stream, until it is read. */
        private var openedCall: BackendCall? = null
        private var possibleRuns = 0
        private val sentNanosByServer = HashMap<BackendServerId, Long>()
        private var lastServer: BackendServerId? = null
        private var lastReason = ""

        suspend fun run(): ForwardResult {
            while (true) {
                quarantinedPart()?.let { return failQuarantined(it) }
                val server = when (val placed = place()) {
                    is Placement.Send -> placed.server.also { if (placed.waitMillis > 0) onSlotNeeded(it) }
                    is Placement.Full -> {
                        if (!mayWait(placed)) return fail(ResultCode.QUEUE_FULL, placed.retryAfterMillis)
                        timer.pause(placed.waitMillis.toLong().coerceAtLeast(MIN_WAIT_MILLIS))
                        continue
                    }
                    is Placement.NoServer -> return fail(ResultCode.NO_BACKEND_SERVER, placed.retryAfterMillis)
                }
                lastServer = server.id
                var attempt = attempt(server)
                while (attempt is Attempt.Moved) {
                    possibleRuns++
                    lastReason = attempt.reason
                    lastServer = attempt.call.server.id
                    openedCall = null
                    attempt = read(attempt.call)
                }
                when (attempt) {
                    is Attempt.Answered -> return ForwardResult(attempt.status, null, lastServer, sendCount, "answered")
                    is Attempt.NotRun -> lastReason = attempt.reason
                    is Attempt.Broken -> {
                        possibleRuns++
                        lastReason = attempt.reason
                        if (!mayRetry()) return fail(ResultCode.BACKEND_FAILED_UNKNOWN, null)
                    }
                    is Attempt.Moved -> error("a stream that moved is read at its new server")
                }
                if (sendCount >= MAX_SENDS) return fail(ResultCode.BACKEND_FAILED_NOT_RUN, RETRY_AFTER_MILLIS)
            }
        }

        /** Closes a response that is not read to its end; without effect on one that was. */
        fun close() {
            openedCall?.close()
        }

        fun failWithTimeout(): ForwardResult {
            lastReason = "no complete response within ${request.limitMillis} ms"
            return fail(ResultCode.BACKEND_TIMEOUT, null)
        }

        private fun quarantinedPart(): String? = components.quarantine.quarantinedPart(request.head.sharedPromptParts)

        private fun failQuarantined(part: String): ForwardResult {
            log.record(
                "prompt_refused",
                "request_id" to request.head.requestId,
                "part" to part,
                "sends" to sendCount,
            )
            lastReason = "backend servers crashed on part $part of the prompt"
            return fail(ResultCode.PROMPT_QUARANTINED, null)
        }

        private fun placementRequest(): PlacementRequest {
            val elapsedMillis = elapsedMillis(request)
            return PlacementRequest(
                service = service,
                remainingTargetMillis = (route.targetLatencyMillis - elapsedMillis).toDouble(),
                remainingDeadlineMillis = request.limitMillis - elapsedMillis,
                excludedServers = excluded,
                isRefusable = possibleRuns == 0 && !reply.isStarted,
            )
        }

        private fun place(): Placement {
            val placed = components.placement.place(placementRequest())
            log.record(
                "route",
                "request_id" to request.head.requestId,
                "route" to route.name,
                "customer" to request.customer?.id,
                "service" to service,
                "candidates" to components.tracker.eligible(service, excluded).size,
                "chosen" to (placed as? Placement.Send)?.server?.id,
                "load" to (placed as? Placement.Send)?.let { components.tracker.occupancy(it.server.id).total },
                "slowness" to (placed as? Placement.Send)?.let { components.tracker.speeds.slowness(it.server.id) },
                "first_byte_ms" to (placed as? Placement.Send)
                    ?.let { components.placement.firstByteMillis(it.server).toLong() },
                "report_age_ms" to components.tracker.reportAgeMillis().toLong(),
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
            val waitMillis = components.placement.waitMillis(server)
            return try {
                read(open(server, waitMillis, responseHeadTimeouts(server, waitMillis)))
            } catch (abandoned: LeftQueue) {
                log.record(
                    "left_queue",
                    "request_id" to request.head.requestId,
                    "server" to server.id,
                    "after_ms" to abandoned.afterMillis,
                    "load" to components.tracker.occupancy(server.id).total,
                )
                Attempt.Broken(abandoned.message.orEmpty())
            } catch (failure: HttpFailure) {
                unsuccessful(server, failure)
            }
        }

        private fun unsuccessful(server: BackendServer, failure: HttpFailure): Attempt = when (failure) {
            is HttpFailure.ConnectFailed -> Attempt.NotRun("connect: ${failure.message}")
            is HttpFailure.Broken -> {
                components.tracker.recordOnlineOutcome(server.id, isAnswered = false)
                Attempt.Broken("broken: ${failure.message}")
            }
        }

        /** Sends the request to [server] and waits until its response begins. */
        private suspend fun open(
            server: BackendServer,
            waitMillis: Double,
            timeouts: ResponseHeadTimeouts,
        ): BackendCall {
            excluded += server.id
            sendCount++
            val remainingMillis = request.limitMillis - elapsedMillis(request)
            val head = BackendRequestHead(server.id, remainingMillis, request.customer?.id?.value, lastEventId)
            val sentNanos = timer.nanoTime()
            val call = components.backendCalls.open(
                server,
                protocol.backendRequest(request.message, head),
                request.head.requestId,
                isBatch = false,
                requiresFreshConnection = !route.isIdempotent && !route.isResumable,
                waitMillis = waitMillis,
                timeouts = timeouts,
                sharedPromptParts = request.head.sharedPromptParts,
            )
            if (waitMillis <= 0) recordFirstByte(call, millisSince(sentNanos))
            sentNanosByServer[server.id] = sentNanos
            return call
        }

        private fun recordFirstByte(call: BackendCall, millis: Double) {
            val speeds = components.tracker.speeds
            components.latencies.recordFirstByte(service, millis / speeds.slowness(call.server.id))
            val head = call.response.head
            if (!head.isStream && head.status in 200..299) speeds.recordEvents(call.server.id, count = 1, millis)
        }

        private suspend fun read(call: BackendCall): Attempt {
            val server = call.server
            return try {
                call.read { response ->
                    forwardResponse(response, server).also {
                        if (it is Attempt.Answered && it.status < 300) {
                            components.latencies.recordDuration(
                                service,
                                millisSince(sentNanosByServer.getValue(server.id)) /
                                    components.tracker.speeds.slowness(server.id),
                            )
                            components.tracker.recordSuccess(server.id)
                        }
                        if (it is Attempt.Moved) call.abandon()
                        if (it !is Attempt.NotRun) components.tracker.recordOnlineOutcome(server.id, isSuccess(it))
                    }
                }
            } catch (failure: HttpFailure) {
                unsuccessful(server, failure)
            }
        }

        private fun isSuccess(attempt: Attempt) = attempt is Attempt.Answered && attempt.status < SERVER_ERROR

        /**
         * A server that is unreachable or stuck sends no response. A request that may be retried goes to another server
         * while it can still succeed in time; any other request waits.
         */
        private fun responseHeadTimeouts(server: BackendServer, waitMillis: Double): ResponseHeadTimeouts {
            val mayRepeat = route.isResumable || route.isIdempotent
            if (!mayRepeat || possibleRuns + 1 >= route.maxAttempts) return ResponseHeadTimeouts()
            val silenceMillis =
                if (route.isResumable) IDLE_LIMIT_MILLIS else maxOf(route.targetLatencyMillis, IDLE_LIMIT_MILLIS / 2)
            return ResponseHeadTimeouts(
                timeoutMillis = silenceMillis + waitMillis.toLong(),
                abandonAfterMillis = components.placement.firstByteTimeoutMillis(server, waitMillis),
                mayAbandon = { components.placement.hasFreeAlternative(placementRequest()) },
            )
        }

        private suspend fun forwardResponse(response: StreamingResponse, server: BackendServer): Attempt {
            val head = response.head
            return when {
                head.isNotRun -> {
                    response.body.rest(MAX_BUFFERED_BODY_BYTES)
                    components.tracker.block(server.id, FULL_SERVER_PAUSE_MILLIS)
                    Attempt.NotRun("server answered ${head.status}, not run")
                }
                head.status in 200..299 && !head.hasServerStamp -> throw HttpFailure.Broken("the answer bears no stamp")
                head.isStream -> forwardStream(response, server)
                else -> forwardWhole(response)
            }
        }

        private suspend fun forwardWhole(response: StreamingResponse): Attempt {
            val body = response.body.rest(MAX_BUFFERED_BODY_BYTES)
            response.recordAnswer()
            val mayRepeat =
                response.head.status >= SERVER_ERROR &&
                    route.isIdempotent &&
                    possibleRuns + 1 < route.maxAttempts
            if (mayRepeat) return Attempt.Broken("server answered ${response.head.status}")
            if (reply.isStarted) return Attempt.Broken("server answered ${response.head.status} to a resumed stream")
            // The head does not state that the request did not run, and callers would read that from the status alone.
            if (response.head.status in NOT_RUN_STATUSES) {
                return Attempt.Broken("server answered ${response.head.status} without stating that it did not run")
            }
            reply.whole(response.head.status, protocol.endToEndHeaders(response.httpResponse), body)
            return Attempt.Answered(response.head.status)
        }

        private suspend fun forwardStream(response: StreamingResponse, server: BackendServer): Attempt =
            coroutineScope {
                val isContinuation = reply.isStarted
                if (!isContinuation) reply.start(response.head.status, protocol.endToEndHeaders(response.httpResponse))
                val move = StreamMove(this, server)
                try {
                    forwardEvents(response, server, move, isContinuation)
                } catch (failure: HttpFailure.Broken) {
                    move.finish()?.let { Attempt.Moved(it, failure.message.orEmpty()) } ?: throw failure
                } finally {
                    move.cancel()
                }
            }

        private suspend fun forwardEvents(
            response: StreamingResponse,
            server: BackendServer,
            move: StreamMove,
            isContinuation: Boolean,
        ): Attempt {
            val splitter = EventSplitter()
            val lastEventIdBefore = lastEventId
            var waitingSinceNanos = timer.nanoTime()
            val timing = StreamTiming(components.tracker.speeds, server.id, timer)
            while (true) {
                if (!move.awaitNext(response.body, waitingSinceNanos)) {
                    move.finish()?.let {
                        return Attempt.Moved(it, "no event for ${millisSince(waitingSinceNanos).toLong()} ms")
                    }
                    continue
                }
                val bytes = response.body.next() ?: break
                val events = splitter.add(bytes)
                timing.recordEvents(events)
                for (event in events) {
                    response.recordAnswer()
                    if (lastEventId == null) metrics.recordFirstEvent(route.name, timer.nanoTime() - request.startNanos)
                    if (!deliver(event, isContinuation)) {
                        return Attempt.Broken("event ${event.id} does not follow event $lastEventId")
                    }
                    if (event.id == null) continue
                    waitingSinceNanos = timer.nanoTime()
                    move.cancel()
                }
                val beforeNanos = timer.nanoTime()
                reply.awaitWritable()
                val pausedNanos = timer.nanoTime() - beforeNanos
                waitingSinceNanos += pausedNanos
                timing.recordPause(pausedNanos)
            }
            if (splitter.hasPartialEvent) throw HttpFailure.Broken("the stream ended within an event")
            // Such a response does not show that the broken stream had sent its last event.
            if (isContinuation && lastEventId == lastEventIdBefore) {
                return Attempt.Broken("the resumed stream has no event")
            }
            reply.end()
            return Attempt.Answered(response.head.status)
        }

        /**
         * The search for another server that goes on with a resumable stream while its [server] is silent. The server
         * may send an event at any time, so its response is left only when another one has sent bytes of its own.
         */
        private inner class StreamMove(private val scope: CoroutineScope, private val server: BackendServer) {
            private var search: Deferred<BackendCall?>? = null

            /**
             * Waits until [body] has bytes, has ended or has failed. Returns false if the search has ended before that.
             * It begins when the last event arrived [IDLE_LIMIT_MILLIS] ago and is repeated while the server is silent.
             */
            suspend fun awaitNext(body: HttpAnswer, waitingSinceNanos: Long): Boolean {
                if (!route.isResumable) {
                    body.awaitNext()
                    return true
                }
                while (true) {
                    val idleMillis = (timer.nanoTime() - waitingSinceNanos) / NANOS_PER_MILLI
                    if (search == null && idleMillis >= IDLE_LIMIT_MILLIS && mayMove(server)) {
                        search = scope.async { openNext() }
                    }
                    val current = search
                    if (current != null) return awaitFirst(body, current)
                    // After the limit the check repeats, since another server may become free.
                    val waitMillis = (IDLE_LIMIT_MILLIS - idleMillis).coerceAtLeast(IDLE_CHECK_MILLIS)
                    if (withTimeoutOrNull(waitMillis) { body.awaitNext() } != null) return true
                }
            }

            /** Returns whether [body] had something to read before [search] had ended. */
            private suspend fun awaitFirst(body: HttpAnswer, search: Deferred<*>): Boolean = coroutineScope {
                val waiting = launch { body.awaitNext() }
                select {
                    search.onJoin { false }
                    waiting.onJoin { true }
                }.also { waiting.cancel() }
            }

            /** Ends the search and returns the call of the server that goes on with the stream, if there is one. */
            suspend fun finish(): BackendCall? = search?.await().also { search = null }

            /** Ends the search because the stream goes on where it is. */
            fun cancel() {
                val current = search ?: return
                search = null
                if (!current.isCompleted || openedCall != null) possibleRuns++
                current.cancel()
                openedCall?.close()
                openedCall = null
            }
        }

        /** Sends the rest of the stream to the next server; null if it does not go on with it. */
        private suspend fun openNext(): BackendCall? {
            val placed = place() as? Placement.Send ?: return null
            if (placed.waitMillis > 0) onSlotNeeded(placed.server)
            val server = placed.server
            val call = try {
                open(server, placed.waitMillis, ResponseHeadTimeouts())
            } catch (failure: HttpFailure) {
                if (unsuccessful(server, failure) is Attempt.Broken) possibleRuns++
                return null
            }
            openedCall = call
            val head = call.response.head
            if (head.isStream) call.response.body.awaitNext()
            if (head.isStream && call.response.body.hasBytes) return call
            call.close()
            openedCall = null
            if (head.isNotRun) components.tracker.block(server.id, FULL_SERVER_PAUSE_MILLIS) else possibleRuns++
            log.record(
                "not_moved",
                "request_id" to request.head.requestId,
                "server" to server.id,
                "status" to head.status,
                "after_event" to lastEventId,
            )
            return null
        }

        /** A server that sends nothing to anybody is left for any other one, a slow one only for a free slot. */
        private fun mayMove(server: BackendServer): Boolean {
            if (possibleRuns + 1 >= route.maxAttempts || sendCount >= MAX_SENDS || hasUnnumberedData) return false
            if (quarantinedPart() != null) return false
            // The first event has arrived, so the latency target no longer counts.
            val request = placementRequest().copy(remainingTargetMillis = Double.MAX_VALUE)
            return components.tracker.isStalled(server.id) || components.placement.hasFreeAlternative(request)
        }

        /**
         * Sends [event] to the caller unless it already has it; false if events are missing before it, or if the event
         * shows that the stream [isContinuation] of a broken one only by name.
         */
        private fun deliver(event: StreamEvent, isContinuation: Boolean): Boolean {
            val last = lastEventId
            if (event.id == null && event.hasData) {
                if (isContinuation) return false
                hasUnnumberedData = true
            }
            if (event.id != null && last != null) {
                if (event.id <= last) return !isContinuation
                if (event.id != last + 1) return false
            }
            reply.bytes(event.bytes)
            if (event.id != null) lastEventId = event.id
            return true
        }

        /** A request that can't be rejected as not run waits for a server, because its caller cannot repeat it. */
        private fun mayWait(placed: Placement.Full): Boolean = !placementRequest().isRefusable &&
            placed.waitMillis < request.limitMillis - elapsedMillis(request)

        private fun mayRetry(): Boolean = possibleRuns < route.maxAttempts &&
            when {
                reply.isStarted -> route.isResumable && !hasUnnumberedData
                else -> route.isIdempotent || route.isResumable
            }

        private fun fail(code: ResultCode, retryAfterMillis: Long?): ForwardResult {
            val hasRun = possibleRuns > 0 || code == ResultCode.BACKEND_TIMEOUT
            val final = if (hasRun && code.httpStatus == SERVICE_UNAVAILABLE) {
                ResultCode.BACKEND_FAILED_UNKNOWN
            } else {
                code
            }
            val reason = lastReason.ifEmpty { code.name }
            if (reply.isStarted) {
                reply.abort()
            } else {
                val execution = if (hasRun) Execution.UNKNOWN else Execution.NOT_RUN
                reply.sendError(
                    when (execution) {
                        Execution.NOT_RUN -> ServingError.Unavailable(final, reason, retryAfterMillis)
                        else -> ServingError.BackendFailed(final, reason, execution)
                    },
                )
            }
            metrics.countRefusal(final)
            return ForwardResult(final.httpStatus, final, lastServer, sendCount, reason)
        }
    }

    private fun millisSince(nanos: Long): Double = (timer.nanoTime() - nanos) / NANOS_PER_MILLI.toDouble()

    private companion object {
        /** Maximum number of servers to which a request is sent, including those that did not run it. */
        const val MAX_SENDS = 4

        /** A response that is not a stream is buffered until it is complete; a longer one is an error. */
        const val MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024

        /** Time without new requests for a server that reported to be full; about one slot becomes free meanwhile. */
        const val FULL_SERVER_PAUSE_MILLIS = 60L

        /** Idle time after which a resumable stream moves to another server; twice the pause that callers expect. */
        const val IDLE_LIMIT_MILLIS = 600L

        /** Interval at which a stream that is idle beyond [IDLE_LIMIT_MILLIS] looks for another server. */
        const val IDLE_CHECK_MILLIS = 100L

        const val RETRY_AFTER_MILLIS = 1_000L

        /** Time between two searches for a server that takes a request. */
        const val MIN_WAIT_MILLIS = 10L
        const val SERVER_ERROR = 500

        /** Statuses that callers take as a promise that the request has not run and never will. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        const val SERVICE_UNAVAILABLE = 503
    }
}
