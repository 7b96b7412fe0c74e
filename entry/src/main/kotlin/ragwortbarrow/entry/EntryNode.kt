package ragwortbarrow.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import ragwortbarrow.core.allowance.CustomerRateLimiter
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.FleetPeer
import ragwortbarrow.core.fleet.ItemBody
import ragwortbarrow.core.fleet.JobPage
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.RelayPlan
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.JobStore
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.BatchPlacement
import ragwortbarrow.core.placement.LatencyEstimates
import ragwortbarrow.core.placement.OnlinePlacement
import ragwortbarrow.core.placement.PreferredSlots
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.KindWatcher
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.listAll
import ragwortbarrow.core.time.pause
import ragwortbarrow.http.EventLoopTimerService
import ragwortbarrow.http.HttpClientPool
import ragwortbarrow.http.HttpReply
import ragwortbarrow.http.HttpRequestMessage
import ragwortbarrow.http.HttpServer
import ragwortbarrow.http.HttpServerLimits
import ragwortbarrow.http.socketAddress
import ragwortbarrow.peer.FleetEndpoint
import ragwortbarrow.peer.GrpcChannels
import ragwortbarrow.peer.GrpcFleetConnector
import ragwortbarrow.peer.GrpcPeerServer
import java.util.concurrent.TimeUnit

/**
 * One entry node: the parts and how they are connected. All of them run on one event loop, since an entry VM has less
 * than one processor; logs are written by a thread of their own.
 */
class EntryNode(
    private val settings: EntrySettings,
    private val log: DecisionLog,
    platform: (EventLoop, EntryMetrics) -> EntryPlatform,
) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop: EventLoop = group.next()
    private val dispatcher = loop.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val timer = EventLoopTimerService(loop)
    private val metrics = EntryMetrics()
    private val platform = platform(loop, metrics)
    private val self = FleetNode(
        settings.vm,
        settings.advertisedPeerAddress,
        incarnation = System.currentTimeMillis(),
        settings.failureDomain,
        settings.capacityMillicores,
    )

    private val board = ServerTracker(timer)
    private val holds = LatencyEstimates()
    private val ledger = CustomerRateLimiter(timer, settings.rateWindowMillis)
    private val configuration = ConfigurationHolder(this.platform::parseConfiguration, log)
    private val servers = ServerDirectory(this.platform::parseBackendServer, board, timer, log)
    private val cancelledJobs = EndedJobs(timer)
    private val members = FleetMembers(self, timer)
    private val channels = GrpcChannels(group = group, keepAliveSeconds = PEER_PROBE_SECONDS)
    private val connector = GrpcFleetConnector(channels)
    private val exchange = FleetLink.Parts(board, ledger, configuration, servers, cancelledJobs)
    private val plan = RelayPlan(members, timer)
    private val link = FleetLink(members, plan, connector, exchange, timer, scope, log)

    private val store = this.platform.store
    private val writer = IdempotentWriter(store, timer, "${self.vm}/${self.incarnation}")
    private val records = JobStore(store, writer)
    private val protocol = this.platform.protocol
    private val pool = HttpClientPool(loop) { metrics.increment("connections_opened") }
    private val engines = EngineCalls(pool, board, protocol)
    private val runner = JobRunner(
        JobRunner.Parts(
            configuration,
            members,
            board,
            BatchPlacement(board, settings.failureDomain),
            engines,
            records,
        ),
        protocol,
        timer,
        scope,
        metrics,
        log,
    )
    private val warden = JobWarden(members, plan, connector, records, runner, timer, scope, log)
    private val jobs = JobDesk(runner, records, members, connector, cancelledJobs, protocol, timer, log)
    private val placement = OnlinePlacement(board, holds, settings.failureDomain)
    private val forwarder = Forwarder(
        Forwarder.Parts(board, placement, holds, engines),
        protocol,
        timer,
        metrics,
        log,
    )
    private val handler =
        CallerHandler(configuration, ledger, members, forwarder, jobs, protocol, timer, metrics, log)

    private val front = HttpServer(loop, scope, ::callerLimits, handler::handle)
    private val health = HttpServer(loop, scope) { request, reply -> healthCall(request, reply) }
    private val peerServer = socketAddress(settings.peerAddress).let {
        GrpcPeerServer(it.hostString, it.port, FleetEndpoint(Service(), dispatcher), group = group)
    }
    private var isDraining = false
    private val watchers = listOf(
        watcher(ObjectKind.PUBLISHED_CONFIGURATIONS, { it.forEach(::configurationChanged) }, ::configurationChanged),
        watcher(ObjectKind.BACKEND_SERVERS, servers::listed, servers::changed, servers::remove),
        watcher(ObjectKind.VM_RETIREMENTS, { it.forEach(::retire) }, ::retire),
    )

    private val isReady: Boolean get() = !isDraining && configuration.table != null && board.all().isNotEmpty()

    /** Binds the addresses and starts all parts. */
    fun start() {
        cancelledJobs.ended = { runner.end(it) }
        forwarder.makeRoom = ::makeRoom
        servers.published = { addresses ->
            pool.retain(addresses)
            dealSlots()
        }
        link.memberForgotten = { channels.retain(members.others().mapTo(HashSet()) { it.address }) }
        link.membershipChanged = {
            dealSlots()
            warden.membershipChanged()
        }
        link.refreshed = runner::refresh
        link.slotsWanted = runner::giveBackNow
        link.takenOverJobs = runner::takenOverJobs
        link.othersTook = runner::othersTook
        link.acceptedJobs = jobs::acceptedLately
        link.othersAccepted = jobs::othersAccepted
        jobs.checkHere = { warden.check(listOf(it)) }
        link.isStoreReachable = platform::isStoreReachable
        gauges()
        peerServer.start()
        health.bind(settings.healthAddress)
        front.bind(settings.callerAddress)
        loop.execute {
            watchers.forEach { it.start() }
            link.start(settings.seedAddresses)
            warden.start()
            ServerBeliefs(board, timer, log).start()
            scope.launch { register() }
            timer.every(SUMMARY_MILLIS) { summarize() }
        }
        log.record("started", "vm" to self.vm, "incarnation" to self.incarnation, "callers" to settings.callerAddress)
    }

    /** Learns of new seeds while it runs. */
    fun reload(changed: EntrySettings) {
        log.record("reloaded", "seeds" to changed.seedAddresses.joinToString(","))
        loop.execute { link.useSeeds(changed.seedAddresses) }
    }

    /** Ends at once: connections close, and nothing is finished or handed over. */
    fun close() {
        scope.cancel()
        peerServer.stop(limitMillis = 0)
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    /** Drains gracefully and calls [done] when nothing is left or the time is up. */
    fun stop(done: () -> Unit) {
        loop.execute { scope.launch { drain(done) } }
    }

    private suspend fun drain(done: () -> Unit) {
        if (isDraining) return
        isDraining = true
        val startNanos = timer.nanoTime()
        fun elapsedMillis() = (timer.nanoTime() - startNanos) / 1_000_000
        log.record("stopping", "in_flight" to handler.inFlight, "connections" to front.openConnections)
        link.announceLeaving()
        runner.stop()
        front.startClosing()
        val endMillis = settings.stopGraceMillis - STOP_MARGIN_MILLIS
        while (elapsedMillis() < endMillis) {
            timer.pause(DRAIN_CHECK_MILLIS)
            if (elapsedMillis() < NOTICE_MILLIS) continue
            front.closeIdle()
            val isIdle = handler.inFlight == 0 && front.openConnections == 0 && !runner.hasUnstored
            if (isIdle) break
            handler.isClosed = elapsedMillis() > settings.stopGraceMillis - REFUSE_MARGIN_MILLIS
        }
        log.record("stopped", "in_flight" to handler.inFlight, "drain_ms" to elapsedMillis())
        done()
    }

    /** An online request has to wait at [server]: batch items of this node leave, or else those of another one. */
    private fun makeRoom(server: BackendServer) {
        if (runner.makeRoom(server)) return
        // The request is counted after this decision, so the other node is told once it has been.
        board.busiestBatchPeer(server.id)?.let { vm -> loop.execute { link.pushTo(vm) } }
    }

    /** Deals the slots of this failure domain anew, after a change of its nodes or servers. */
    private fun dealSlots() {
        val nodes = members.reachable().filter { it.failureDomain == self.failureDomain }.map { it.vm } + self.vm
        val servers = board.all().filter { it.failureDomain == self.failureDomain && !it.isDraining }
        placement.preferredSlots = PreferredSlots.assign(servers, nodes, self.vm)
    }

    private fun summarize() {
        log.record(
            "summary",
            "in_flight" to handler.inFlight,
            "connections" to front.openConnections,
            "items_running" to runner.runningItems,
            "items_waiting" to runner.waitingItems,
            "members" to members.size,
            "silent" to members.unreachableCount,
            "platform_calls" to metrics.drainCallCounts().entries.joinToString(",") { "${it.key}=${it.value}" },
        )
    }

    private fun callerLimits(): HttpServerLimits {
        val limits = configuration.table?.limits ?: return HttpServerLimits()
        return HttpServerLimits(
            maxHeaderBytes = limits.maxHeaderBytes,
            maxBodyBytes = limits.maxBodyBytes,
            idleTimeoutMillis = limits.idleTimeoutMillis,
            headerTimeoutMillis = limits.headerTimeoutMillis,
        )
    }

    private fun healthCall(request: HttpRequestMessage, reply: HttpReply) = when (request.pathOnly) {
        "/readyz" -> reply.whole(if (isReady) 200 else 503, DefaultHttpHeaders(), ByteArray(0))
        "/livez" -> reply.whole(200, DefaultHttpHeaders(), ByteArray(0))
        "/metrics" -> reply.whole(200, DefaultHttpHeaders(), metrics.scrape().encodeToByteArray())
        else -> reply.whole(404, DefaultHttpHeaders(), ByteArray(0))
    }

    private fun watcher(
        kind: ObjectKind,
        listed: (List<StoredObject>) -> Unit,
        changed: (StoredObject) -> Unit,
        removed: (String, Long) -> Unit = { _, _ -> },
    ) = KindWatcher(
        kind = kind,
        store = store,
        timer = timer,
        scope = scope,
        // While the store does not answer, one watcher tries for all of them.
        isElected = {
            link.isWatcher && (kind == ObjectKind.PUBLISHED_CONFIGURATIONS || platform.isStoreReachable)
        },
        onChanged = { changed(it) },
        onListed = { listed(it) },
        onRemoved = { name, version -> removed(name, version) },
        decisionLog = log,
        startDelayMillis = 0,
        confirmMillis = Long.MAX_VALUE,
        retryMillis = WATCH_RETRY_MILLIS,
    )

    private fun configurationChanged(stored: StoredObject) = configuration.offer(stored.spec.toString(), "platform")

    /** Storage VMs of the system keep nothing that must last, so a request to empty one is answered at once. */
    private fun retire(request: StoredObject) {
        if (platform.isRetirementCompleted(request)) return
        // Every node sees the request; the first in the order of names answers, the others only if it does not.
        val rank = (members.reachable().map { it.vm.value } + self.vm.value).sorted().indexOf(self.vm.value)
        scope.launch {
            timer.pause(rank * RETIREMENT_TURN_MILLIS)
            val current = store.get(ObjectKind.VM_RETIREMENTS, request.name).getOrElse { return@launch }
            if (platform.isRetirementCompleted(current)) return@launch
            platform.reportRetirementCompleted(current).fold(
                { log.record("retirement_completed", "vm" to request.name) },
                { log.record("retirement_not_answered", "vm" to request.name, "reason" to it) },
            )
        }
    }

    /**
     * Makes this node known through the platform and then learns of the others, again until the platform answers. In
     * this order, of two nodes that start at the same time at least one sees the other.
     */
    private suspend fun register() {
        val spec = JsonObject(
            mapOf(
                "address" to JsonPrimitive(self.address),
                "incarnation" to JsonPrimitive(self.incarnation),
                "failureDomain" to JsonPrimitive(self.failureDomain.value),
                "capacityMillis" to JsonPrimitive(self.capacityMillicores),
            ),
        )
        while (!(isRegistered(spec) && learnMembers())) timer.pause(REGISTER_RETRY_MILLIS)
    }

    private suspend fun isRegistered(spec: JsonObject): Boolean {
        val own = store.get(ObjectKind.ENTRY_NODES, self.vm.value).getOrElse {
            if (it !is StoreError.NotFound) return false
            return writer.create(ObjectKind.ENTRY_NODES, self.vm.value, spec).isOk
        }
        return writer.update(own, spec).isOk
    }

    private suspend fun learnMembers(): Boolean {
        val listed = store.listAll(ObjectKind.ENTRY_NODES).getOrElse { return false }
        listed.items.mapNotNull { it.node() }.forEach { link.members.addMember(it) }
        return true
    }

    private fun StoredObject.node(): FleetNode? {
        val address = spec["address"]?.jsonPrimitive?.content ?: return null
        val incarnation = spec["incarnation"]?.jsonPrimitive?.longOrNull ?: return null
        val domain = spec["failureDomain"]?.jsonPrimitive?.content.orEmpty()
        val capacityMillis = spec["capacityMillis"]?.jsonPrimitive?.intOrNull ?: 0
        return FleetNode(VmId(name), address, incarnation, FailureDomainId(domain), capacityMillis)
    }

    private fun gauges() {
        metrics.registerGauge("requests.in.flight", "Requests of callers that are being served") { handler.inFlight }
        metrics.registerGauge("items.running", "Batch items that run at backend servers") { runner.runningItems }
        metrics.registerGauge("items.waiting", "Batch items that wait for a spare slot") { runner.waitingItems }
        metrics.registerGauge("members", "Entry nodes that may be alive") { members.size }
        metrics.registerGauge("members.silent", "Entry nodes that have not been heard of lately") {
            members.unreachableCount
        }
        metrics.registerGauge("configuration.version", "Version in force, 0 if none") { configuration.version }
    }

    private inner class Service : FleetPeer {
        override suspend fun exchange(state: NodeState): Result<NodeState, PeerError> = Ok(link.exchanged(state))

        override suspend fun fetchSnapshot(kind: SnapshotKind): Result<Snapshot, PeerError> = exchange.snapshot(kind)

        override suspend fun readResults(
            job: String,
            customer: String,
            after: Int,
            waitMillis: Long,
        ): Result<JobPage?, PeerError> = Ok(jobs.heldPage(job, customer, after, waitMillis))

        override suspend fun readItem(job: String, customer: String, item: String): Result<ItemBody, PeerError> =
            Ok(jobs.heldItem(job, customer, item))

        override suspend fun cancelJob(job: String): Result<Boolean, PeerError> {
            cancelledJobs.add(job)
            return Ok(runner.end(job))
        }

        override suspend fun checkJobs(jobs: List<String>): Result<Unit, PeerError> {
            scope.launch { warden.check(jobs) }
            return Ok(Unit)
        }
    }

    private companion object {
        /** Average pause before a watch of the platform is started again. */
        const val WATCH_RETRY_MILLIS = 700L

        const val REGISTER_RETRY_MILLIS = 1_000L

        /** One line of totals in this time. */
        const val SUMMARY_MILLIS = 10_000L

        /** How long a node leaves a retirement to each node before it in the order of names. */
        const val RETIREMENT_TURN_MILLIS = 400L

        /** A peer connection that falls silent is closed after this time and two more seconds. */
        const val PEER_PROBE_SECONDS = 10L

        /** The balancer notices within two checks of a second each that the node is not ready. */
        const val NOTICE_MILLIS = 2_500L

        const val DRAIN_CHECK_MILLIS = 100L

        /** The process is gone this long before the platform kills it. */
        const val STOP_MARGIN_MILLIS = 700L

        /** New requests are refused in the last part of the grace time, since they could not be finished. */
        const val REFUSE_MARGIN_MILLIS = 2_500L
    }
}
