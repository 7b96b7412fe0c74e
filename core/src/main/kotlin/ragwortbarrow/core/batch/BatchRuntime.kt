package ragwortbarrow.core.batch

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import ragwortbarrow.core.backend.BackendClient
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.time.TimerService
import kotlin.coroutines.ContinuationInterceptor

/**
 * Batch work on one node: the service that callers use, the worker that runs items on the backend servers this node
 * dispatches to, and the sender that tells other dispatchers about this node's online requests.
 *
 * Decisions run one at a time on the dispatcher of [scope]; failures of one coroutine leave the others alone.
 */
class BatchRuntime(
    private val self: MemberInfo,
    timer: TimerService,
    store: ObjectStore,
    client: BackendClient,
    connector: PeerConnector,
    members: MemberView,
    configuration: ConfigurationView,
    decisions: DecisionLog,
    scope: CoroutineScope,
    settings: BatchSettings = BatchSettings(),
    /**
     * Whether this node's `vmleases` lease holds at this instant by its own monotonic clock. Items that may not be
     * repeated start only while it does.
     */
    isLeaseHeld: () -> Boolean = { true },
) {
    private val serial: CoroutineScope = serialScope(scope)
    private val writers = WriterTokens(self.vm, self.incarnation)
    private val chunks = ChunkStore(store, timer, self.vm, self.incarnation, writers)
    private val board: JobBoard = JobBoard(store, timer, serial, decisions) { worker.onJobChange(it) }
    private val finisher =
        JobFinisher(store, timer, chunks, board, members, writers, decisions, serial, settings)
    private val worker: BatchWorker = BatchWorker(
        members = members,
        timer = timer,
        reader = BatchReader(store),
        chunks = chunks,
        leases = VmLeaseWatch(store, timer, settings.leaseMarginMillis),
        board = board,
        slots = SpareSlots(timer, settings.headroomSlots),
        client = client,
        configuration = configuration,
        decisions = decisions,
        scope = serial,
        settings = settings,
        isLeaseHeld = isLeaseHeld,
        onAllFinished = finisher::completeSoon,
    )
    private val sender = OnlineLoadSender(
        timer = timer,
        members = members,
        configuration = configuration,
        connector = connector,
        scope = serial,
        local = worker::acceptOnlineLoad,
    )

    /** Files and jobs for callers of this node; usable before [start]. */
    val service: BatchService = StoredBatchService(store, timer, configuration, writers) { jobId ->
        serial.launch { finisher.cancelSoon(jobId) }
    }

    fun start() {
        serial.launch {
            board.start()
            worker.start()
            finisher.start()
            sender.start()
        }
    }

    /** Stops claiming, cancels running items, records what is done and releases the chunks of this node. */
    suspend fun stop() {
        if (!serial.coroutineContext.job.isActive) return
        withContext(checkNotNull(serial.coroutineContext[ContinuationInterceptor])) {
            sender.stop()
            worker.stop()
            finisher.stop()
            board.stop()
        }
        serial.cancel()
    }

    /** Takes the online load that an entry node reports for backend servers of this node. */
    fun acceptOnlineLoad(report: OnlineLoadReport) {
        serial.launch { worker.acceptOnlineLoad(report) }
    }

    /**
     * Takes the number of online requests that this node has in flight on [server]; [full] means that a request was
     * just sent there although no slot was free. The last call for a server stands.
     */
    fun onInFlightChanged(server: BackendServerId, inFlight: Int, full: Boolean): Unit =
        sender.onInFlightChanged(server, inFlight, full)
}

/** A scope below [scope] that runs one coroutine at a time, so that its state needs no locks. */
private fun serialScope(scope: CoroutineScope): CoroutineScope {
    val given = scope.coroutineContext[ContinuationInterceptor] as? CoroutineDispatcher ?: Dispatchers.Default
    // The unconfined dispatcher runs on the thread of virtual time and cannot be limited.
    val serial = if (given === Dispatchers.Unconfined) given else given.limitedParallelism(1)
    return CoroutineScope(scope.coroutineContext + serial + SupervisorJob(scope.coroutineContext[Job]))
}
