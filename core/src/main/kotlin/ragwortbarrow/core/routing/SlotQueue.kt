package ragwortbarrow.core.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.resume

private typealias SlotResult = Result<BackendServer, ServingError>

/**
 * Gives requests a slot on a backend server. While every eligible server is full, requests wait in a [FairQueue] for
 * each target, bounded in length and time by the manifest.
 */
class SlotQueue(
    private val router: Router,
    private val loads: BackendLoads,
    private val configuration: ConfigurationView,
    private val timer: TimerService,
    private val drainPeriodMillis: Long = 10L,
) {
    private val queues = ConcurrentHashMap<CallTarget, FairQueue<Waiter>>()
    private var draining: TimerSubscription? = null

    /** Load reports, ends of pauses and new configurations free servers without a call of [release]. */
    fun start() {
        draining = timer.every(drainPeriodMillis) { drainAll() }
    }

    fun stop() {
        draining?.cancel()
    }

    /** The number of requests that wait. */
    fun waiting(): Int = queues.values.sumOf { it.size }

    /** A server with a slot taken for [call]; the caller gives it back with [release]. */
    suspend fun acquire(call: OnlineCall, excluded: Set<BackendServerId> = emptySet()): SlotResult {
        val snapshot = configuration.current
            ?: return Err(ServingError.Unavailable(ResultCode.NO_CONFIGURATION, "no configuration yet", 1_000))
        if ((queues[call.target]?.size ?: 0) == 0) {
            when (val decision = router.choose(snapshot, call.routeRequest(excluded))) {
                is RouteDecision.Chosen -> return Ok(decision.server)
                RouteDecision.NoServer -> return Err(noServer(call.target))
                is RouteDecision.AllFull, RouteDecision.AllPaused -> Unit
            }
        }
        return waitForSlot(snapshot, call, excluded)
    }

    /** Gives a slot of [server] back and lets waiting requests have it. */
    fun release(server: BackendServerId) {
        loads.release(server)
        drainAll()
    }

    private suspend fun waitForSlot(
        snapshot: ConfigurationSnapshot,
        call: OnlineCall,
        excluded: Set<BackendServerId>,
    ): SlotResult = suspendCancellableCoroutine { continuation ->
        val fleet = snapshot.manifest.fleet
        val queue = queues.computeIfAbsent(call.target) { FairQueue() }
        val waiter = Waiter(call.routeRequest(excluded).copy(queued = true), continuation)
        val customer = call.customer?.value.orEmpty()
        val weight = call.customer?.let { snapshot.customers[it]?.weight } ?: 1
        continuation.invokeOnCancellation {
            queue.remove(customer, waiter)
            waiter.timeout?.cancel()
        }
        if (!queue.offer(customer, waiter, call.estimatedTokens, weight, fleet.queueLengthPerCustomer)) {
            val message = "${fleet.queueLengthPerCustomer} requests of the customer wait already"
            continuation.resume(Err(ServingError.Unavailable(ResultCode.QUEUE_FULL, message, RETRY_AFTER_MILLIS)))
        } else {
            waiter.timeout = timer.once(fleet.queueWaitMillis) {
                if (queue.remove(customer, waiter)) continuation.resume(Err(queueTimeout(fleet.queueWaitMillis)))
            }
            // A slot that was freed before the offer has drained an empty queue.
            drain(call.target, queue)
        }
    }

    private fun drainAll(): Unit = queues.forEach { (target, queue) -> if (queue.size > 0) drain(target, queue) }

    private fun drain(target: CallTarget, queue: FairQueue<Waiter>) {
        val snapshot = configuration.current ?: return
        while (queue.size > 0) {
            val (waiter, decision) = queue.pollIf { waiter ->
                router.choose(snapshot, waiter.request).takeIf {
                    it is RouteDecision.Chosen || it is RouteDecision.NoServer
                }
            } ?: return
            waiter.timeout?.cancel()
            if (decision is RouteDecision.Chosen) {
                // A caller that left in the meantime never sees the slot.
                waiter.continuation.resume(Ok(decision.server)) { _, _, _ -> release(decision.server.id) }
            } else {
                waiter.continuation.resume(Err(noServer(target)))
            }
        }
    }

    private fun queueTimeout(waitMillis: Long) = ServingError.Unavailable(
        ResultCode.QUEUE_TIMEOUT,
        "no backend server had a free slot within $waitMillis ms",
        RETRY_AFTER_MILLIS,
    )

    private fun noServer(target: CallTarget) =
        ServingError.Unavailable(ResultCode.NO_BACKEND_SERVER, "no backend server for $target", RETRY_AFTER_MILLIS)

    private fun OnlineCall.routeRequest(excluded: Set<BackendServerId>) =
        RouteRequest(request.requestId, target, prefix, excluded)

    private class Waiter(val request: RouteRequest, val continuation: CancellableContinuation<SlotResult>) {
        @Volatile
        var timeout: TimerSubscription? = null
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
