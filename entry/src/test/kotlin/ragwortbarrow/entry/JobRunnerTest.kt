package ragwortbarrow.entry

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Runnable
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
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
import ragwortbarrow.core.jobs.ResultLog
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.BatchPlacement
import ragwortbarrow.core.placement.Occupancy
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.traffic.CallerLimits
import ragwortbarrow.core.traffic.Route
import ragwortbarrow.core.traffic.RouteKind
import ragwortbarrow.core.traffic.RoutingTable
import ragwortbarrow.core.traffic.WeightedService
import ragwortbarrow.http.HttpClientPool
import ragwortbarrow.http.HttpRequestMessage
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.CoroutineContext

/** Starts and stops batch items in a fixed order: tasks wait in a queue until the test runs them. */
class JobRunnerTest {
    /** Queues tasks in order of their dispatch, as an event loop does. */
    private class QueueDispatcher : CoroutineDispatcher() {
        private val tasks = ConcurrentLinkedQueue<Runnable>()

        override fun dispatch(context: CoroutineContext, block: Runnable) {
            tasks += block
        }

        fun runQueued() {
            while (true) (tasks.poll() ?: return).run()
        }
    }

    private class ItemProtocol : EntryProtocol {
        override fun itemRequest(item: BatchItem, host: String, head: BackendRequestHead) =
            HttpRequestMessage("POST", item.path, DefaultHttpHeaders(), ByteArray(0))

        override fun isResponseTo(response: HttpResponse, requestId: String) = true

        override fun parseHead(request: HttpRequestMessage): CallerRequestHead = unused()

        override fun parseOperation(request: HttpRequestMessage): CallerOperation = unused()

        override fun parseBatchItems(body: ByteArray): List<BatchItem> = unused()

        override fun encodeResultsPage(total: Int, after: Int, results: List<ItemResult>): ByteArray = unused()

        override fun backendRequest(request: HttpRequestMessage, head: BackendRequestHead): HttpRequestMessage =
            unused()

        override fun parseResponseHead(response: HttpResponse): BackendResponseHead = unused()

        override fun endToEndHeaders(response: HttpResponse): HttpHeaders = unused()

        private fun unused(): Nothing = error("the test does not expect this call")
    }

    /** Accepts connections and never answers. */
    private val silentSocket = ServerSocket(0, 64, InetAddress.getLoopbackAddress())
    private val servers = listOf("a", "b").map {
        val address = "127.0.0.1:${silentSocket.localPort}"
        BackendServer(BackendServerId(it), "engines", address, FailureDomainId("dalton"), slots = 8)
    }
    private val timer = ManualTimerService()
    private val dispatcher = QueueDispatcher()
    private val tracker = ServerTracker(timer).apply { replace(servers) }
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val self = FleetNode(VmId("vm-1"), "127.0.0.1:1", incarnation = 1, FailureDomainId("dalton"))
    private val route = Route(
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
    private val runner = createRunner()

    private fun createRunner(): JobRunner {
        val protocol = ItemProtocol()
        val limits = CallerLimits(16_384, 1_048_576, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)
        val table = RoutingTable(version = 1, listOf(route), customers = emptyList(), limits)
        val store = InMemoryObjectStore()
        return JobRunner(
            JobRunner.Components(
                ConfigurationHolder({ table }, DecisionLog.NONE).apply { tryApply("", "test") },
                FleetMembers(self, timer),
                tracker,
                BatchPlacement(tracker, self.failureDomain),
                BackendCalls(HttpClientPool(group.next()), tracker, protocol),
                JobStore(store, IdempotentWriter(store, timer, "vm-1/1")),
            ),
            protocol,
            timer,
            CoroutineScope(dispatcher),
            EntryMetrics(),
            DecisionLog.NONE,
        )
    }

    @AfterEach
    fun close() {
        group.shutdownGracefully()
        silentSocket.close()
    }

    private fun startJob(items: Int) {
        val job = BatchJob(
            id = "job",
            host = route.host,
            path = route.pathPrefix,
            customer = "mill",
            submittedWallMillis = timer.wallMillis(),
            items = (1..items).map { BatchItem("item-$it", "/quote/$it") },
            holder = JobHolder(self.vm.value, self.incarnation),
        )
        runner.startJob(job, ResultLog(items))
    }

    private fun itemsInFlight() = servers.sumOf { tracker.localOccupancy(it.id).batch }

    /** An online request of the same turn of the event loop takes the slot of an item that was just placed. */
    @Test
    fun `an item that is preempted in the turn in which it starts waits again`() {
        tracker.replace(servers.take(1))
        startJob(items = 12)
        dispatcher.runQueued()
        timer.advance(100)
        runner.rebalance()
        runner.freeSlot(servers[0])
        dispatcher.runQueued()
        expectThat(itemsInFlight()).isGreaterThan(0)
        expectThat(runner.runningItems).isEqualTo(itemsInFlight())
        expectThat(runner.waitingItems + runner.runningItems).isEqualTo(12)
    }

    /** One server has free slots and another one is half full when a whole job becomes ready to start. */
    @Test
    fun `items that start in the same turn count for the placement of the next ones`() {
        tracker.updatePeer(VmId("vm-2"), mapOf(servers[1].id to Occupancy(online = 2)))
        runner.rebalance()
        startJob(items = 12)
        dispatcher.runQueued()
        val loads = servers.map { tracker.occupancy(it.id).total }
        expectThat(loads).all { isLessThanOrEqualTo(4) }
    }
}
