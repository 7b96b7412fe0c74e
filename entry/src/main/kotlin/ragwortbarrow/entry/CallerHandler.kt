package ragwortbarrow.entry

import ragwortbarrow.core.allowance.CustomerRateLimiter
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.traffic.CustomerAccount
import ragwortbarrow.core.traffic.Route
import ragwortbarrow.core.traffic.RouteKind
import ragwortbarrow.core.traffic.RoutingTable
import ragwortbarrow.http.HttpReply
import ragwortbarrow.http.HttpRequestMessage
import ragwortbarrow.http.UnansweredRequest
import kotlin.math.ceil

/** Handles callers' requests: resolves route and customer, applies the rate limit, and dispatches the request. */
class CallerHandler(
    private val configuration: ConfigurationHolder,
    private val rateLimiter: CustomerRateLimiter,
    private val members: FleetMembers,
    private val forwarder: Forwarder,
    private val jobHandler: BatchJobHandler,
    private val protocol: EntryProtocol,
    private val timer: TimerService,
    private val metrics: EntryMetrics,
    private val log: DecisionLog,
) {
    private val openReplies = HashSet<HttpReply>()

    val inFlight: Int get() = openReplies.size

    /** Time until this node exits; a request that may take longer is rejected. */
    var remainingMillis: () -> Long = { Long.MAX_VALUE }

    suspend fun handle(message: HttpRequestMessage, reply: HttpReply) {
        val startNanos = timer.nanoTime()
        openReplies += reply
        try {
            serve(message, reply, startNanos)
        } finally {
            openReplies -= reply
        }
    }

    /** Answers the requests that have no response yet, since the process exits before it arrives. */
    fun failUnanswered() = openReplies.filter { !it.isStarted }.forEach {
        val message = "the node stopped before the response began"
        it.sendError(ServingError.BackendFailed(ResultCode.BACKEND_TIMEOUT, message, Execution.UNKNOWN))
    }

    /** Records a request whose connection ended before its response was complete. */
    fun recordUnanswered(unanswered: UnansweredRequest) {
        log.record(
            "unanswered",
            "request_id" to protocol.parseHead(unanswered.request).requestId,
            "path" to unanswered.request.pathOnly,
            "configuration" to configuration.version,
            "closed_by" to unanswered.reason,
            "started" to unanswered.isStarted,
        )
        metrics.countUnanswered(unanswered.reason)
    }

    private suspend fun serve(message: HttpRequestMessage, reply: HttpReply, startNanos: Long) {
        val head = protocol.parseHead(message)
        val table = configuration.table
        if (table == null) return reject(head, reply, ResultCode.NO_CONFIGURATION, "no configuration yet", RETRY_MILLIS)
        val operation = protocol.parseOperation(message)
        if (operation != CallerOperation.Routed) return handleJobOperation(operation, head, table, reply)
        val route = table.route(head.host, head.path)
            ?: return reject(head, reply, ResultCode.UNKNOWN_ROUTE, "no route in version ${table.version}")
        val customer = findCustomer(table, route, head)
        if (customer == null && table.requiresKeys && !route.isPublic) {
            return reject(head, reply, ResultCode.KEY_UNKNOWN, "no such key in version ${table.version}")
        }
        val request = OnlineRequest(message, head, route, customer, startNanos)
        val neededMillis = if (route.kind == RouteKind.BATCH) JOB_CALL_MILLIS else request.limitMillis
        when {
            remainingMillis() < neededMillis -> rejectDraining(head, reply)
            route.kind == RouteKind.BATCH ->
                jobHandler.submit(message, head, route, table.version, customer, startNanos, reply)
            customer == null || admitOrReject(customer, head, reply) -> forwardOnline(request, reply, table.version)
        }
    }

    private fun rejectDraining(head: CallerRequestHead, reply: HttpReply) =
        reject(head, reply, ResultCode.DRAINING, "this node is shutting down", RETRY_MILLIS)

    private suspend fun forwardOnline(request: OnlineRequest, reply: HttpReply, version: Long) {
        var result: ForwardResult? = null
        try {
            result = forwarder.forward(request, reply)
            if (result.sendCount == 0) request.customer?.let { rateLimiter.refund(it.id) }
        } finally {
            val nanos = timer.nanoTime() - request.startNanos
            metrics.recordRequest(request.route.name, result?.status ?: CLIENT_CLOSED_REQUEST, nanos)
            log.record(
                "answered",
                "request_id" to request.head.requestId,
                "route" to request.route.name,
                "configuration" to version,
                "server" to result?.server,
                "sends" to result?.sendCount,
                "status" to (result?.status ?: CLIENT_CLOSED_REQUEST),
                "code" to result?.code?.number,
                "limit_ms" to request.limitMillis,
                "total_ms" to nanos / NANOS_PER_MILLI,
                "reason" to (result?.reason ?: "the caller closed the connection"),
            )
        }
    }

    private fun findCustomer(table: RoutingTable, route: Route, head: CallerRequestHead): CustomerAccount? =
        if (!table.requiresKeys || (route.isPublic && head.key == null)) null else head.key?.let { table.customer(it) }

    private fun admitOrReject(customer: CustomerAccount, head: CallerRequestHead, reply: HttpReply): Boolean {
        val decision = rateLimiter.admit(customer, members.size, members.unreachableCount)
        if (decision.isAdmitted) return true
        val excess = decision.used - decision.allowed
        val waitMillis = (ceil(excess.coerceAtLeast(1.0) / customer.ratePerSecond) * RETRY_MILLIS).toLong()
        log.record(
            "rate_exceeded",
            "request_id" to head.requestId,
            "customer" to customer.id,
            "used" to decision.used,
            "allowed" to decision.allowed.toLong(),
            "members" to members.size,
            "silent" to decision.unreachableNodes,
        )
        metrics.countRefusal(ResultCode.RATE_EXCEEDED)
        val message = "customer ${customer.id} is over its rate of ${customer.ratePerSecond}/s"
        reply.sendError(
            ServingError.Limited(
                ResultCode.RATE_EXCEEDED,
                message,
                waitMillis.coerceIn(RETRY_MILLIS, MAX_RETRY_MILLIS),
            ),
        )
        return false
    }

    private suspend fun handleJobOperation(
        operation: CallerOperation,
        head: CallerRequestHead,
        table: RoutingTable,
        reply: HttpReply,
    ) {
        if (remainingMillis() < JOB_CALL_MILLIS) return rejectDraining(head, reply)
        val customer = head.key?.let { table.customer(it) }
        if (customer == null && table.requiresKeys) {
            return reject(head, reply, ResultCode.KEY_UNKNOWN, "no such key in version ${table.version}")
        }
        val customerId = customer?.id?.value.orEmpty()
        when (operation) {
            is CallerOperation.ReadResults -> jobHandler.readResults(operation, head, customerId, reply)
            is CallerOperation.ReadItem -> jobHandler.readItem(operation, head, customerId, reply)
            is CallerOperation.CancelJob -> jobHandler.cancel(operation, head, customerId, reply)
            is CallerOperation.Malformed -> reject(head, reply, ResultCode.INVALID_FIELD, operation.message)
            CallerOperation.Routed -> error("a routed request is not a job operation")
        }
    }

    private fun reject(
        head: CallerRequestHead,
        reply: HttpReply,
        code: ResultCode,
        message: String,
        retryAfterMillis: Long? = null,
    ) {
        log.record(
            "refused",
            "request_id" to head.requestId,
            "host" to head.host,
            "path" to head.path,
            "configuration" to configuration.version,
            "code" to code.number,
            "reason" to message,
        )
        metrics.countRefusal(code)
        reply.sendError(ServingError.Unavailable(code, message, retryAfterMillis))
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L

        /** Upper limit of the time that a call about a batch job takes; it includes a write to the platform's store. */
        const val JOB_CALL_MILLIS = 1_800L

        /** Upper limit of `Retry-After`: the default window over which the rate is counted. */
        const val MAX_RETRY_MILLIS = 5_000L

        /** Status in logs and metrics, as in nginx, of a request whose caller disconnected; it is never sent. */
        const val CLIENT_CLOSED_REQUEST = 499
    }
}
