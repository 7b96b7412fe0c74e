package ragwortbarrow.core.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.transformWhile
import kotlinx.coroutines.launch
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendClient
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.StreamEvent
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.error.Execution
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.time.TimerService
import kotlin.random.Random

/**
 * Serves online requests: queues them fairly, chooses a backend server, sends the request, retries where that is safe,
 * and verifies that the caller gets the complete response to its own request.
 */
class RoutedOnlineService(
    private val client: BackendClient,
    private val configuration: ConfigurationView,
    private val timer: TimerService,
    private val failureDomain: FailureDomainId,
    val loads: BackendLoads = BackendLoads(timer),
    private val health: ServerHealth = ServerHealth(timer),
    private val retryBudget: RetryBudget = RetryBudget(),
    private val maxAttempts: Int = 3,
    private val random: Random = Random.Default,
    private val decisionLog: DecisionLog = DecisionLog.NONE,
    private val isLeaving: (BackendServerId) -> Boolean = { false },
    private val router: Router = Router(loads, health, failureDomain, random, decisionLog, isLeaving),
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) : OnlineService {
    private val slotQueue = SlotQueue(router, loads, configuration, timer)
    private val retries = RetryPolicy(retryBudget, maxAttempts)

    // Cancelling on a backend server must not delay a retry, and must continue after the caller disconnects.
    private val cancelScope = CoroutineScope(SupervisorJob() + dispatcher)

    fun start() {
        slotQueue.start()
        configuration.subscribe { snapshot ->
            loads.retainAll(snapshot.backendServers.keys)
            health.retainAll(snapshot.backendServers.keys)
            retryBudget.retainAll(snapshot.customers.keys)
        }
    }

    fun stop() {
        slotQueue.stop()
        cancelScope.cancel()
    }

    /** Number of requests that wait for a slot. */
    fun waiting(): Int = slotQueue.waiting()

    override suspend fun execute(call: OnlineCall): Result<BackendResponse, ServingError> {
        retries.recordRequest(call.customer)
        val attempts = Attempts()
        while (true) {
            val server = slotQueue.acquire(call, attempts.failedServers)
                .getOrElse { return Err(attempts.queueError(it)) }
            val outcome = send(server, call)
            if (outcome is AttemptOutcome.Answered) return Ok(outcome.response)
            attempts.recordFailure(server.id, outcome)
            finalErrorOrNull(call, server, attempts, outcome)?.let { return Err(it) }
        }
    }

    override fun stream(call: OnlineCall): Flow<CallerEvent> = flow {
        retries.recordRequest(call.customer)
        val attempts = Attempts()
        val assembly = StreamAssembly()
        var last: CallerEvent? = null
        while (last == null) {
            last = slotQueue.acquire(call, attempts.failedServers).fold(
                success = { server -> streamAttempt(server, call, attempts, assembly) },
                failure = { CallerEvent.Failed(streamError(assembly, attempts.queueError(it))) },
            )
        }
        emit(last)
    }

    private suspend fun send(server: BackendServer, call: OnlineCall): AttemptOutcome {
        var outcome: AttemptOutcome? = null
        try {
            outcome = client.send(server, call.request)
            recordHealth(server, outcome.takeIf { it !is AttemptOutcome.Answered })
            return outcome
        } finally {
            val stillRuns = outcome == null || outcome is AttemptOutcome.Unknown
            if (stillRuns) cancelOnServer(server, call)
            slotQueue.release(server.id)
        }
    }

    /** Streams from [server]; returns the final event, or null if the stream should be restarted on another server. */
    private suspend fun FlowCollector<CallerEvent>.streamAttempt(
        server: BackendServer,
        call: OnlineCall,
        attempts: Attempts,
        assembly: StreamAssembly,
    ): CallerEvent? {
        var end: StreamEnd? = null
        assembly.restart()
        try {
            end = relay(client.stream(server, call.request), assembly)
            end = resumeWhileBroken(end, server, call, assembly)
        } finally {
            if (end == null || end is StreamEnd.Broken || end is StreamEnd.Diverged) cancelOnServer(server, call)
            slotQueue.release(server.id)
        }
        return when (end) {
            StreamEnd.Done -> CallerEvent.Completed.also { recordHealth(server, null) }

            is StreamEnd.Answered -> CallerEvent.Answered(end.response).also { recordHealth(server, null) }

            is StreamEnd.Diverged -> CallerEvent.Failed(streamBroken(end.reason))

            is StreamEnd.Broken -> {
                recordHealth(server, end.outcome)
                attempts.recordFailure(server.id, end.outcome)
                finalErrorOrNull(call, server, attempts, end.outcome)
                    ?.let { CallerEvent.Failed(streamError(assembly, it)) }
            }
        }
    }

    /**
     * Resumes a broken stream on the same server. This repeats no work, so it is allowed even for calls that are not
     * repeatable, but it counts towards the retry budget. A stream that timed out is not resumed.
     */
    private suspend fun FlowCollector<CallerEvent>.resumeWhileBroken(
        first: StreamEnd,
        server: BackendServer,
        call: OnlineCall,
        assembly: StreamAssembly,
    ): StreamEnd {
        var end = first
        repeat(MAX_RESUMES) {
            val broken = end as? StreamEnd.Broken ?: return end
            val timedOut = (broken.outcome as? AttemptOutcome.Unknown)?.timedOut == true
            val resumable = assembly.attemptOffset > 0L && !timedOut && broken.outcome !is AttemptOutcome.NotRun
            if (!resumable || !retryBudget.tryAcquire(call.customer)) return end
            logRetry(call, server, "resume", broken.outcome)
            end = relay(client.resume(server, call.request.requestId, assembly.attemptOffset), assembly)
            // The server refused only the resume; the request itself ran.
            val refusal = (end as? StreamEnd.Broken)?.outcome as? AttemptOutcome.NotRun
            if (refusal != null) return StreamEnd.Broken(AttemptOutcome.Unknown("resume refused: ${refusal.reason}"))
        }
        return end
    }

    private suspend fun FlowCollector<CallerEvent>.relay(
        source: Flow<StreamEvent>,
        assembly: StreamAssembly,
    ): StreamEnd {
        var end: StreamEnd? = null
        source.transformWhile { event ->
            when (val step = assembly.accept(event)) {
                is StreamStep.Deliver -> emit(CallerEvent.Chunk(step.chunk.offset, step.chunk.data))
                StreamStep.Skip -> Unit
                is StreamStep.End -> end = step.end
            }
            end == null
        }.collect { emit(it) }
        return end ?: StreamEnd.Broken(AttemptOutcome.Unknown("the stream ended without a final event"))
    }

    private fun finalErrorOrNull(
        call: OnlineCall,
        server: BackendServer,
        attempts: Attempts,
        outcome: AttemptOutcome,
    ): ServingError? = when (val decision = retries.decide(call, outcome, attempts.count, attempts.mayHaveRun)) {
        is RetryDecision.GiveUp -> decision.error

        RetryDecision.Retry -> {
            logRetry(call, server, "retry", outcome)
            null
        }
    }

    private fun streamError(assembly: StreamAssembly, error: ServingError): ServingError =
        if (!assembly.hasDelivered) error else streamBroken(error.message)

    private fun streamBroken(reason: String) = ServingError.BackendFailed(
        ResultCode.STREAM_BROKEN,
        "the stream cannot be continued: $reason",
        Execution.UNKNOWN,
    )

    private fun recordHealth(server: BackendServer, failure: AttemptOutcome?) =
        if (failure == null) health.recordSuccess(server.id) else health.recordFailure(server.id)

    private fun cancelOnServer(server: BackendServer, call: OnlineCall) {
        cancelScope.launch { client.cancel(server, call.request.requestId) }
    }

    private fun logRetry(call: OnlineCall, server: BackendServer, kind: String, outcome: AttemptOutcome) =
        decisionLog.record(
            "retry",
            "request_id" to call.request.requestId,
            "kind" to kind,
            "server" to server.id,
            "reason" to outcome,
        )

    /** Results of the attempts of one request so far. */
    private class Attempts {
        var count = 0
            private set
        var mayHaveRun = false
            private set
        var failedServers: Set<BackendServerId> = emptySet()
            private set

        fun recordFailure(server: BackendServerId, outcome: AttemptOutcome) {
            count++
            if (outcome !is AttemptOutcome.NotRun) mayHaveRun = true
            failedServers = failedServers + server
        }

        /** An error of the queue says only that the current attempt did not run; earlier attempts may have run. */
        fun queueError(error: ServingError): ServingError =
            if (mayHaveRun) ServingError.BackendFailed(error.code, error.message, Execution.UNKNOWN) else error
    }

    private companion object {
        const val MAX_RESUMES = 2
    }
}
