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
 * Assigns backend server slots to requests. While all eligible servers are full, requests wait in one [FairQueue] per
 * target; the manifest limits the length of the queue per customer and the time in it.
 */
class SlotQueue(
    private val router: Router,
    private val loads: BackendLoads,
    private val configuration: ConfigurationView,
    private val timer: TimerService,
    private val dispatchPeriodMillis: Long = 10L,
) {
    private val queues = ConcurrentHashMap<CallTarget, FairQueue<Waiter>>()
    private var dispatchTimer: TimerSubscription? = null

    /** Starts periodic dispatch, because load reports, ends of backoffs and new configurations also free slots. */
    fun start() {
        dispatchTimer = timer.every(dispatchPeriodMillis) { dispatchAll() }
    }

    fun stop() {
        dispatchTimer?.cancel()
    }

    /** Number of waiting requests. */
    fun waiting(): Int = queues.values.sumOf { it.size }

    /** Returns a server with a slot for [call]; the caller returns the slot with [release]. */
    suspend fun acquire(call: OnlineCall, excluded: Set<BackendServerId> = emptySet()): SlotResult {
        val snapshot = configuration.current
            ?: return Err(ServingError.Unavailable(ResultCode.NO_CONFIGURATION, "no configuration loaded yet", 1_000))
        if ((queues[call.target]?.size ?: 0) == 0) {
            when (val decision = router.choose(snapshot, call.routeRequest(excluded))) {
                is RouteDecision.Chosen -> return Ok(decision.server)
                RouteDecision.NoServer -> return Err(noServer(call.target))
                is RouteDecision.AllFull, RouteDecision.AllPaused -> Unit
            }
        }
        return waitForSlot(snapshot, call, excluded)
    }

    /** Returns a slot of [server] and assigns free slots to waiting requests. */
    fun release(server: BackendServerId) {
        loads.release(server)
        dispatchAll()
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
            val message = "${fleet.queueLengthPerCustomer} requests of the customer are already waiting"
            continuation.resume(Err(ServingError.Unavailable(ResultCode.QUEUE_FULL, message, RETRY_AFTER_MILLIS)))
        } else {
            waiter.timeout = timer.once(fleet.queueWaitMillis) {
                if (queue.remove(customer, waiter)) continuation.resume(Err(queueTimeout(fleet.queueWaitMillis)))
            }
            // A slot freed before the request was queued was dispatched to an empty queue, so dispatch again.
            dispatch(call.target, queue)
        }
    }

    private fun dispatchAll(): Unit = queues.forEach { (target, queue) -> if (queue.size > 0) dispatch(target, queue) }

    private fun dispatch(target: CallTarget, queue: FairQueue<Waiter>) {
        val snapshot = configuration.current ?: return
        while (queue.size > 0) {
            val (waiter, decision) = queue.pollIf { waiter ->
                router.choose(snapshot, waiter.request).takeIf {
                    it is RouteDecision.Chosen || it is RouteDecision.NoServer
                }
            } ?: return
            waiter.timeout?.cancel()
            if (decision is RouteDecision.Chosen) {
                // If the caller was cancelled in the meantime, return the slot that it will not receive.
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
