package ragwortbarrow.entry

import com.github.michaelbull.result.Result
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Runnable
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.BatchItem
import ragwortbarrow.core.jobs.BatchJob
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.JobStore
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.BatchPlacement
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.traffic.CallerLimits
import ragwortbarrow.core.traffic.Route
import ragwortbarrow.core.traffic.RouteKind
import ragwortbarrow.core.traffic.RoutingTable
import ragwortbarrow.core.traffic.WeightedService
import ragwortbarrow.http.HttpClientPool
import ragwortbarrow.http.HttpRequestMessage
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.CoroutineContext

/** A [JobRunner] in virtual time whose tasks wait in a queue, and whose servers accept connections and never answer. */
internal class JobRunnerFixture(isConfigured: Boolean = true) : AutoCloseable {
    /** Queues tasks in order of their dispatch, as an event loop does. */
    class QueueDispatcher : CoroutineDispatcher() {
        private val tasks = ConcurrentLinkedQueue<Runnable>()

        override fun dispatch(context: CoroutineContext, block: Runnable) {
            tasks += block
        }

        fun runQueued() {
            while (true) (tasks.poll() ?: return).run()
        }
    }

    /** Answers reads once [mayRead] is complete. */
    private class SlowStore(private val store: ObjectStore) : ObjectStore by store {
        var mayRead = CompletableDeferred(Unit)

        override suspend fun get(kind: ObjectKind, name: String): Result<StoredObject, StoreError> {
            mayRead.await()
            return store.get(kind, name)
        }
    }

    private class ItemProtocol : EntryProtocol {
        override fun itemRequest(item: BatchItem, host: String, head: BackendRequestHead) =
            HttpRequestMessage("POST", item.path, DefaultHttpHeaders(), ByteArray(0))

        override fun isResponseTo(response: HttpResponse, requestId: String) = true

        override fun parseHead(request: HttpRequestMessage): CallerRequestHead = unused()

        override fun parseOperation(request: HttpRequestMessage): CallerOperation = unused()

        override fun parseBatchItems(body: ByteArray): List<BatchItem> = unused()

        override fun sharedPromptParts(item: BatchItem): List<String> = item.headers["parts"]?.split(',').orEmpty()

        override fun encodeResultsPage(total: Int, after: Int, results: List<ItemResult>): ByteArray = unused()

        override fun backendRequest(request: HttpRequestMessage, head: BackendRequestHead): HttpRequestMessage =
            unused()

        override fun parseResponseHead(response: HttpResponse): BackendResponseHead = unused()

        override fun endToEndHeaders(response: HttpResponse): HttpHeaders = unused()

        private fun unused(): Nothing = error("the test does not expect this call")
    }

    /** Accepts connections and never answers. */
    private val silentSocket = ServerSocket(0, 64, InetAddress.getLoopbackAddress())
    val servers = listOf("a", "b").map {
        val address = "127.0.0.1:${silentSocket.localPort}"
        BackendServer(BackendServerId(it), "engines", address, FailureDomainId("dalton"), slots = 8)
    }
    val timer = ManualTimerService()
    val dispatcher = QueueDispatcher()
    val tracker = ServerTracker(timer).apply { replace(servers) }
    val quarantine = PromptQuarantine(timer, DecisionLog.NONE)
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val self = FleetNode(VmId("vm-1"), "127.0.0.1:1", incarnation = 1, FailureDomainId("dalton"))
    val route = Route(
        name = "quote",
        host = "h.example",
        pathPrefix = "/quote/",
        kind = RouteKind.BATCH,
        services = listOf(WeightedService("engines", 1.0)),
        timeoutMillis = 15_000,
        targetLatencyMillis = 400,
        completionTargetMillis = 18_000,
        maxWaitMillis = 60_000,
    )
    val members = FleetMembers(self, timer)
    private val store = SlowStore(InMemoryObjectStore())
    val objects: ObjectStore get() = store
    val jobStore = JobStore(store, IdempotentWriter(store, timer, "vm-1/1"))
    val scope = CoroutineScope(dispatcher)
    val cancelledJobs = CancelledJobs(timer)
    private val tables = HashMap<String, RoutingTable>()
    private val configuration = ConfigurationHolder({ tables.getValue(it) }, DecisionLog.NONE)
    val runner = createRunner()

    init {
        if (isConfigured) configure(version = 1, listOf(route))
    }

    fun configure(version: Long, routes: List<Route>) {
        val limits = CallerLimits(16_384, 1_048_576, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)
        tables["v$version"] = RoutingTable(version, routes, customers = emptyList(), limits)
        configuration.tryApply("v$version", "test")
    }

    private fun createRunner(): JobRunner {
        val protocol = ItemProtocol()
        return JobRunner(
            JobRunner.Components(
                configuration,
                members,
                tracker,
                BatchPlacement(tracker, self.failureDomain),
                BackendCalls(
                    HttpClientPool(group.next()),
                    tracker,
                    quarantine,
                    serverLimitsOf(timer, members),
                    protocol,
                    timer,
                ),
                jobStore,
                quarantine,
                cancelledJobs,
            ),
            protocol,
            timer,
            scope,
            EntryMetrics(),
            DecisionLog.NONE,
            maxOutputBytes = MAX_OUTPUT_BYTES,
        )
    }

    /** Reads from the store wait from now on, until the result is complete. */
    fun delayReads(): CompletableDeferred<Unit> = CompletableDeferred<Unit>().also { store.mayRead = it }

    override fun close() {
        group.shutdownGracefully()
        silentSocket.close()
    }

    fun job(items: Int, holder: FleetNode = self, headers: Map<String, String> = emptyMap()) = BatchJob(
        id = "job",
        host = route.host,
        path = route.pathPrefix,
        customer = "mill",
        submittedWallMillis = timer.wallMillis(),
        items = (1..items).map { BatchItem("item-$it", "/quote/$it", headers) },
        holder = JobHolder(holder.vm.value, holder.incarnation),
        configurationVersion = 1,
    )

    companion object {
        const val MAX_OUTPUT_BYTES = 1_000_000L
    }
}
