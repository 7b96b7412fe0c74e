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
 * Batch processing on one node: the service that handles the calls of customers, the worker that runs items on the
 * backend servers this node dispatches to, and the sender that reports this node's online requests to the dispatchers
 * of the backend servers.
 *
 * All coroutines run one at a time on the dispatcher of [scope]. A failed coroutine does not cancel the others.
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
     * Whether this node currently holds its `vmleases` lease, by its own monotonic clock. Items that are not repeatable
     * start only while it does.
     */
    isLeaseHeld: () -> Boolean = { true },
) {
    private val workScope: CoroutineScope = serialScope(scope)
    private val writerTokens = WriterTokens(self.vm, self.incarnation)
    private val chunkStore = ChunkStore(store, timer, self.vm, self.incarnation, writerTokens)
    private val jobTracker: JobTracker = JobTracker(store, timer, workScope, decisions) { worker.onJobChange(it) }
    private val finisher =
        JobFinisher(store, timer, chunkStore, jobTracker, members, writerTokens, decisions, workScope, settings)
    private val worker: BatchWorker = BatchWorker(
        members = members,
        timer = timer,
        reader = BatchReader(store),
        chunkStore = chunkStore,
        leaseMonitor = VmLeaseMonitor(store, timer, settings.leaseMarginMillis),
        jobTracker = jobTracker,
        spareSlots = SpareSlots(timer, settings.headroomSlots),
        client = client,
        configuration = configuration,
        decisions = decisions,
        scope = workScope,
        settings = settings,
        isLeaseHeld = isLeaseHeld,
        onAllChunksFinished = finisher::scheduleCompletion,
    )
    private val onlineLoadSender = OnlineLoadSender(
        timer = timer,
        members = members,
        configuration = configuration,
        connector = connector,
        scope = workScope,
        deliverLocally = worker::acceptOnlineLoad,
    )

    /** Files and jobs for the callers of this node. It can be used before [start]. */
    val service: BatchService = StoredBatchService(store, timer, configuration, writerTokens) { jobId ->
        workScope.launch { finisher.scheduleCancellation(jobId) }
    }

    fun start() {
        workScope.launch {
            jobTracker.start()
            worker.start()
            finisher.start()
            onlineLoadSender.start()
        }
    }

    /** Stops claiming chunks, cancels running items, commits finished results and releases the chunks of this node. */
    suspend fun stop() {
        if (!workScope.coroutineContext.job.isActive) return
        withContext(checkNotNull(workScope.coroutineContext[ContinuationInterceptor])) {
            onlineLoadSender.stop()
            worker.stop()
            finisher.stop()
            jobTracker.stop()
        }
        workScope.cancel()
    }

    /** Accepts the online load that another node reports for backend servers this node dispatches to. */
    fun acceptOnlineLoad(report: OnlineLoadReport) {
        workScope.launch { worker.acceptOnlineLoad(report) }
    }

    /**
     * Updates the number of online requests that this node has in flight on [server]; the latest call for a server
     * wins. [full] means that a request was just sent although the server had no free slot.
     */
    fun onInFlightChanged(server: BackendServerId, inFlight: Int, full: Boolean): Unit =
        onlineLoadSender.onInFlightChanged(server, inFlight, full)
}

/** Returns a child of [scope] that runs one coroutine at a time, so that state confined to it needs no locks. */
private fun serialScope(scope: CoroutineScope): CoroutineScope {
    val dispatcher = scope.coroutineContext[ContinuationInterceptor] as? CoroutineDispatcher ?: Dispatchers.Default
    // Simulations in virtual time use the unconfined dispatcher, which runs on their thread and cannot be limited.
    val serialDispatcher =
        if (dispatcher === Dispatchers.Unconfined) dispatcher else dispatcher.limitedParallelism(1)
    return CoroutineScope(scope.coroutineContext + serialDispatcher + SupervisorJob(scope.coroutineContext[Job]))
}
