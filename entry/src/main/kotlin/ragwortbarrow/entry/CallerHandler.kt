package ragwortbarrow.entry

import ragwortbarrow.core.allowance.CustomerRateLimiter
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
import kotlin.math.ceil

/** Takes callers' requests: finds route and customer, checks the rate, and hands on to the part that serves them. */
class CallerHandler(
    private val configuration: ConfigurationHolder,
    private val ledger: CustomerRateLimiter,
    private val members: FleetMembers,
    private val forwarder: Forwarder,
    private val jobs: JobDesk,
    private val protocol: EntryProtocol,
    private val timer: TimerService,
    private val metrics: EntryMetrics,
    private val log: DecisionLog,
) {
    var inFlight: Int = 0
        private set

    /** Set when the process is about to end and cannot finish anything new. */
    var isClosed: Boolean = false

    suspend fun handle(message: HttpRequestMessage, reply: HttpReply) {
        val arrivedNanos = timer.nanoTime()
        inFlight++
        try {
            serve(message, reply, arrivedNanos)
        } finally {
            inFlight--
        }
    }

    private suspend fun serve(message: HttpRequestMessage, reply: HttpReply, arrivedNanos: Long) {
        val head = protocol.parseHead(message)
        val table = configuration.table
        if (table == null) return refuse(head, reply, ResultCode.NO_CONFIGURATION, "no configuration yet", RETRY_MILLIS)
        if (isClosed) return refuse(head, reply, ResultCode.DRAINING, "this node stops", RETRY_MILLIS)
        val call = protocol.parseOperation(message)
        if (call != CallerOperation.Routed) return jobCall(call, head, table, reply)
        val route = table.route(head.host, head.path)
            ?: return refuse(head, reply, ResultCode.UNKNOWN_ROUTE, "no route in version ${table.version}")
        val customer = customer(table, route, head)
        if (customer == null && table.requiresKeys && !route.isPublic) {
            return refuse(head, reply, ResultCode.KEY_UNKNOWN, "no such key in version ${table.version}")
        }
        if (route.kind == RouteKind.BATCH) return jobs.submit(message, head, route, customer, arrivedNanos, reply)
        if (customer != null && !isAdmitted(customer, head, reply)) return
        val request = OnlineRequest(message, head, route, customer, arrivedNanos)
        online(request, reply, table.version)
    }

    private suspend fun online(request: OnlineRequest, reply: HttpReply, version: Long) {
        var result: ForwardResult? = null
        try {
            result = forwarder.forward(request, reply)
            if (result.sends == 0) request.customer?.let { ledger.refund(it.id) }
        } finally {
            val nanos = timer.nanoTime() - request.arrivedNanos
            metrics.recordRequest(request.route.name, result?.status ?: CALLER_GONE, nanos)
            log.record(
                "answered",
                "request_id" to request.head.requestId,
                "route" to request.route.name,
                "configuration" to version,
                "server" to result?.server,
                "sends" to result?.sends,
                "status" to (result?.status ?: CALLER_GONE),
                "code" to result?.code?.number,
                "limit_ms" to request.limitMillis,
                "total_ms" to nanos / NANOS_PER_MILLI,
                "reason" to (result?.reason ?: "the caller closed the connection"),
            )
        }
    }

    private fun customer(table: RoutingTable, route: Route, head: CallerRequestHead): CustomerAccount? =
        if (!table.requiresKeys || (route.isPublic && head.key == null)) null else head.key?.let { table.customer(it) }

    private fun isAdmitted(customer: CustomerAccount, head: CallerRequestHead, reply: HttpReply): Boolean {
        val decision = ledger.admit(customer, members.size, members.unreachableCount)
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
        reply.refuse(
            ServingError.Limited(
                ResultCode.RATE_EXCEEDED,
                message,
                waitMillis.coerceIn(RETRY_MILLIS, MAX_RETRY_MILLIS),
            ),
        )
        return false
    }

    private suspend fun jobCall(call: CallerOperation, head: CallerRequestHead, table: RoutingTable, reply: HttpReply) {
        val customer = head.key?.let { table.customer(it) }
        if (customer == null && table.requiresKeys) {
            return refuse(head, reply, ResultCode.KEY_UNKNOWN, "no such key in version ${table.version}")
        }
        val customerId = customer?.id?.value.orEmpty()
        when (call) {
            is CallerOperation.ReadResults -> jobs.readResults(call, head, customerId, reply)
            is CallerOperation.ReadItem -> jobs.readItem(call, head, customerId, reply)
            is CallerOperation.CancelJob -> jobs.end(call, head, customerId, reply)
            is CallerOperation.Malformed -> refuse(head, reply, ResultCode.INVALID_FIELD, call.message)
            CallerOperation.Routed -> error("a routed call is not a job call")
        }
    }

    private fun refuse(
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
        reply.refuse(ServingError.Unavailable(code, message, retryAfterMillis))
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L

        /** A customer far over its rate may come back after the window at the latest. */
        const val MAX_RETRY_MILLIS = 5_000L

        /** The status that logs and metrics show for a caller that left; none was sent. */
        const val CALLER_GONE = 499
    }
}
