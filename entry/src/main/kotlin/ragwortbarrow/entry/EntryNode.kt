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
import ragwortbarrow.core.allowance.CustomerRateLimiter
import ragwortbarrow.core.callers.CallerMemory
import ragwortbarrow.core.callers.CallerMemoryLimits
import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.fleet.FleetPeer
import ragwortbarrow.core.fleet.ItemBody
import ragwortbarrow.core.fleet.JobPage
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.RelayPlan
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.core.jobs.JobHolder
import ragwortbarrow.core.jobs.JobStore
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.BatchPlacement
import ragwortbarrow.core.placement.Evacuations
import ragwortbarrow.core.placement.LatencyEstimates
import ragwortbarrow.core.placement.OnlinePlacement
import ragwortbarrow.core.placement.PreferredSlots
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.quarantine.PromptQuarantine
import ragwortbarrow.core.serverlimit.LimitHolders
import ragwortbarrow.core.serverlimit.ServerLimits
import ragwortbarrow.core.store.GuardedObjectStore
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.KindWatcher
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectPage
import ragwortbarrow.core.store.StoreCircuit
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
import ragwortbarrow.http.StrayBytes
import ragwortbarrow.http.socketAddress
import ragwortbarrow.peer.FleetEndpoint
import ragwortbarrow.peer.GrpcChannels
import ragwortbarrow.peer.GrpcFleetConnector
import ragwortbarrow.peer.GrpcPeerServer
import java.util.concurrent.TimeUnit

/**
 * One entry node: creates its components and connects them. All of them run on one event loop, since an entry VM has
 * less than one processor; a separate thread writes the logs.
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

    private val members = FleetMembers(self, timer)
    private val limitHolders = LimitHolders(members)
    private val configuration = ConfigurationHolder(this.platform::parseConfiguration, log)
    private val limits = ServerLimits(limitHolders, timer, log, settings = configuration::service)
    private val tracker = ServerTracker(timer, permits = limits)
    private val latencies = LatencyEstimates()
    private val rateLimiter = CustomerRateLimiter(timer, settings.rateWindowMillis)
    private val servers = ServerDirectory(
        this.platform::parseBackendServer,
        tracker,
        timer,
        log,
        millisSinceStoreFailure = { this.platform.millisSinceStoreFailure },
    )
    private val evacuations = Evacuations(this.platform::parseEvacuation, log)
    private val cancelledJobs = CancelledJobs(timer)
    private val quarantine = PromptQuarantine(timer, log)
    private val channels = GrpcChannels(group = group, keepAliveSeconds = PEER_KEEPALIVE_SECONDS)
    private val connector = GrpcFleetConnector(channels)
    private val sharedState = FleetStateExchange.SharedState(
        tracker,
        rateLimiter,
        configuration,
        servers,
        cancelledJobs,
        quarantine,
        limits,
        evacuations,
    )
    private val plan = RelayPlan(members, timer)
    private val stateExchange = FleetStateExchange(members, plan, connector, sharedState, timer, scope, log)

    private val store = GuardedObjectStore(this.platform.store, StoreCircuit(timer, log = log))
    private val writer = IdempotentWriter(store, timer, "${self.vm}/${self.incarnation}")
    private val jobStore = JobStore(store, writer, settings.maxObjectBytes, ::logUnreadable)
    private val protocol = this.platform.protocol
    private val pool = HttpClientPool(
        loop,
        onStrayBytes = ::recordStrayBytes,
        onConnect = { metrics.increment("connections_opened") },
    )
    private val backendCalls = BackendCalls(pool, tracker, quarantine, limits, protocol, timer)
    private val runner = JobRunner(
        JobRunner.Components(
            configuration,
            members,
            tracker,
            BatchPlacement(tracker, settings.failureDomain),
            backendCalls,
            jobStore,
            quarantine,
            cancelledJobs,
        ),
        protocol,
        timer,
        scope,
        metrics,
        log,
        maxClockSkewMillis = settings.maxClockSkewMillis,
    )
    private val failover = JobFailover(members, plan, connector, jobStore, runner, timer, scope, log)
    private val jobStates =
        JobStateFollower(runner, cancelledJobs, jobStore, JobHolder(self.vm.value, self.incarnation), timer)
    private val jobHandler =
        BatchJobHandler(runner, jobStore, members, connector, cancelledJobs, protocol, timer, scope, log)
    private val placement = OnlinePlacement(tracker, latencies, settings.failureDomain, timer)
    private val forwarder = Forwarder(
        Forwarder.Components(tracker, placement, latencies, backendCalls, quarantine),
        protocol,
        timer,
        metrics,
        log,
    )
    private val callerHandler =
        CallerHandler(configuration, rateLimiter, members, forwarder, jobHandler, protocol, timer, metrics, log)

    private val callerMemory =
        CallerMemory(CallerMemoryLimits.of(Runtime.getRuntime().maxMemory(), settings.maxDescriptors), timer)
    private val callerRefusals = CallerRefusalLog(callerMemory, timer, metrics, log)
    private val callerServer = HttpServer(
        loop,
        scope,
        ::callerLimits,
        callerHandler::recordUnanswered,
        callerMemory,
        callerRefusals::record,
        callerHandler::handle,
    )
    private val healthServer = HttpServer(loop, scope) { request, reply -> answerHealthCheck(request, reply) }
    private val peerServer = socketAddress(settings.peerAddress).let {
        GrpcPeerServer(it.hostString, it.port, FleetEndpoint(LocalFleetPeer(), dispatcher), group = group)
    }
    private var isDraining = false
    private val watchers = listOfNotNull(
        createWatcher(ObjectKind.PUBLISHED_CONFIGURATIONS, ::applyConfiguration),
        createWatcher(ObjectKind.BACKEND_SERVERS, servers::update, servers::replaceAll, servers::remove),
        createWatcher(ObjectKind.VM_RETIREMENTS, ::confirmRetirement),
        createWatcher(ObjectKind.ENTRY_JOB_STATES, jobStates::update),
        createWatcher(
            ObjectKind.EVACUATIONS,
            evacuations::update,
            evacuations::replaceAll,
            evacuations::remove,
        ).takeIf { settings.hasEvacuations },
    )

    private val isReady: Boolean get() = !isDraining && configuration.table != null && tracker.all().isNotEmpty()

    /** Binds the addresses and starts all components. */
    fun start() {
        cancelledJobs.onCancelled = { runner.cancelJob(it) }
        forwarder.onSlotNeeded = ::freeSlot
        servers.onServersChanged = { addresses ->
            pool.retain(addresses)
            limits.retain(tracker.all())
            assignPreferredSlots()
        }
        servers.onHeartbeat = limits::recordHeartbeat
        evacuations.onEnded = limits::recordEvacuationEnd
        evacuations.onChanged = { tracker.evacuatedDomains = it }
        tracker.onLeaving = {
            log.record("backend_server_leaving", "server" to it.id, "incarnation" to it.incarnation)
            assignPreferredSlots()
        }
        stateExchange.onMemberRemoved = { channels.retain(members.others().mapTo(HashSet()) { it.address }) }
        stateExchange.onMembershipChange = {
            assignPreferredSlots()
            failover.onMembershipChange()
        }
        stateExchange.onPeriodEnd = {
            quarantine.update()
            runner.rebalance()
        }
        quarantine.onCrashRecorded = { metrics.increment("requests_at_crashes") }
        stateExchange.onSlotsNeeded = runner::freeSlotsForPeers
        stateExchange.takenOverJobs = runner::takenOverJobs
        stateExchange.onJobsTakenOver = runner::reconcileJobs
        stateExchange.recentlyAcceptedJobs = jobHandler::recentlyAcceptedJobs
        stateExchange.onJobsAccepted = jobHandler::addRemoteJobs
        failover.onTakenOver = jobHandler::announce
        jobHandler.onJobWithoutHolder = { failover.ensureRunning(listOf(it)) }
        stateExchange.isStoreReachable = platform::isStoreReachable
        registerGauges()
        peerServer.start()
        healthServer.bind(settings.healthAddress)
        callerServer.bind(settings.callerAddress)
        loop.execute {
            watchers.forEach { it.start() }
            stateExchange.start(settings.seedAddresses)
            failover.start()
            ServerHealthLog(tracker, timer, log).start()
            scope.launch { register() }
            timer.every(SUMMARY_MILLIS) { logSummary() }
        }
        log.record("started", "vm" to self.vm, "incarnation" to self.incarnation, "callers" to settings.callerAddress)
    }

    /** Applies the changed seed addresses of a running node; other settings need a restart. */
    fun reload(changed: EntrySettings) {
        log.record("reloaded", "seeds" to changed.seedAddresses.joinToString(","))
        loop.execute { stateExchange.contactSeeds(changed.seedAddresses) }
    }

    /** Stops immediately: closes connections without finishing requests or handing over jobs. */
    fun close() {
        scope.cancel()
        callerServer.close()
        healthServer.close()
        peerServer.stop(limitMillis = 0)
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    /** Drains the node and calls [done] when no work is left or the grace period is over, which begins now. */
    fun stop(done: () -> Unit) {
        val startNanos = timer.nanoTime()
        loop.execute { scope.launch { drain(startNanos, done) } }
    }

    private suspend fun drain(startNanos: Long, done: () -> Unit) {
        if (isDraining) return
        isDraining = true
        fun elapsedMillis() = (timer.nanoTime() - startNanos) / 1_000_000
        log.record("stopping", "in_flight" to callerHandler.inFlight, "connections" to callerServer.openConnections)
        limitHolders.isLeaving = true
        stateExchange.announceLeaving()
        runner.stop()
        callerServer.startClosing()
        val endMillis = settings.stopGraceMillis - STOP_MARGIN_MILLIS
        callerHandler.remainingMillis = {
            if (elapsedMillis() < BALANCER_DELAY_MILLIS) Long.MAX_VALUE else endMillis - elapsedMillis()
        }
        while (elapsedMillis() < endMillis) {
            timer.pause(DRAIN_CHECK_MILLIS)
            if (elapsedMillis() < BALANCER_DELAY_MILLIS) continue
            callerServer.closeIdle()
            val isIdle = callerHandler.inFlight == 0 && callerServer.openConnections == 0 && !runner.hasUnstoredResults
            if (isIdle) break
        }
        log.record("stopped", "in_flight" to callerHandler.inFlight, "drain_ms" to elapsedMillis())
        callerHandler.failUnanswered()
        done()
    }

    /** Frees a slot on [server] for an online request: stops items of this node, or notifies the peer with the most. */
    private fun freeSlot(server: BackendServer) {
        if (runner.freeSlot(server)) return
        // The request is counted after this decision, so the peer is notified in a later task of the event loop.
        tracker.busiestBatchPeer(server.id)?.let { vm -> loop.execute { stateExchange.requestSlotFrom(vm) } }
    }

    /** Reassigns the slots of this failure domain after a change of its nodes or servers. */
    private fun assignPreferredSlots() {
        val nodes = members.reachable().filter { it.failureDomain == self.failureDomain }.map { it.vm } + self.vm
        val servers = tracker.all().filter { it.failureDomain == self.failureDomain && !it.isDraining }
        placement.preferredSlots = PreferredSlots.assign(servers, nodes, self.vm)
    }

    private fun logSummary() {
        log.record(
            "summary",
            "in_flight" to callerHandler.inFlight,
            "connections" to callerServer.openConnections,
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

    private fun answerHealthCheck(request: HttpRequestMessage, reply: HttpReply) = when (request.pathOnly) {
        "/readyz" -> reply.whole(if (isReady) 200 else 503, DefaultHttpHeaders(), ByteArray(0))
        "/livez" -> reply.whole(200, DefaultHttpHeaders(), ByteArray(0))
        "/metrics" -> reply.whole(200, DefaultHttpHeaders(), metrics.scrape().encodeToByteArray())
        else -> reply.whole(404, DefaultHttpHeaders(), ByteArray(0))
    }

    private fun createWatcher(
        kind: ObjectKind,
        onChanged: (StoredObject) -> Unit,
        onListed: (ObjectPage) -> Unit = { it.items.forEach(onChanged) },
        onRemoved: (String, Long) -> Unit = { _, _ -> },
    ) = KindWatcher(
        kind = kind,
        store = store,
        timer = timer,
        scope = scope,
        isElected = { isElectedWatcher(kind) },
        onChanged = { onChanged(it) },
        onListed = { onListed(it) },
        onRemoved = { name, version -> onRemoved(name, version) },
        decisionLog = log,
        startDelayMillis = 0,
        confirmMillis = Long.MAX_VALUE,
        retryMillis = WATCH_RETRY_MILLIS,
    )

    private fun isElectedWatcher(kind: ObjectKind): Boolean = when (kind) {
        // While the store is unreachable, only this watcher retries.
        ObjectKind.PUBLISHED_CONFIGURATIONS -> stateExchange.isWatcher
        ObjectKind.BACKEND_SERVERS -> stateExchange.isServerWatcher && platform.isStoreReachable
        ObjectKind.ENTRY_JOB_STATES -> jobStates.isNeeded()
        else -> stateExchange.isWatcher && platform.isStoreReachable
    }

    private fun applyConfiguration(stored: StoredObject) = configuration.tryApply(stored.spec.toString(), "platform")

    /** Confirms a VM retirement at once, since storage VMs of this system hold no data that has to be moved. */
    private fun confirmRetirement(request: StoredObject) {
        if (platform.isRetirementCompleted(request)) return
        // Every node sees the request. They confirm it in the order of their names, each only if no earlier one has.
        val rank = (members.reachable().map { it.vm.value } + self.vm.value).sorted().indexOf(self.vm.value)
        scope.launch {
            timer.pause(rank * RETIREMENT_STAGGER_MILLIS)
            val current = store.get(ObjectKind.VM_RETIREMENTS, request.name).getOrElse { return@launch }
            if (platform.isRetirementCompleted(current)) return@launch
            platform.reportRetirementCompleted(current).fold(
                { log.record("retirement_completed", "vm" to request.name) },
                { log.record("retirement_not_answered", "vm" to request.name, "reason" to it) },
            )
        }
    }

    /**
     * Registers this node with the platform and then lists the others, and retries until both succeed. In this order,
     * of two nodes that start at the same time at least one sees the other.
     */
    private suspend fun register() {
        val spec = encodeEntryNode(self)
        while (!(tryRegister(spec) && loadMembers())) timer.pause(REGISTER_RETRY_MILLIS)
    }

    private suspend fun tryRegister(spec: JsonObject): Boolean {
        val own = store.get(ObjectKind.ENTRY_NODES, self.vm.value).getOrElse {
            if (it !is StoreError.NotFound) return false
            return writer.create(ObjectKind.ENTRY_NODES, self.vm.value, spec).isOk
        }
        return writer.update(own, spec).isOk
    }

    private suspend fun loadMembers(): Boolean {
        val listed = store.listAll(ObjectKind.ENTRY_NODES).getOrElse { return false }
        for (stored in listed.items) {
            val node = decodeEntryNode(stored)
            if (node != null) stateExchange.members.addMember(node) else logUnreadable(stored, "not an entry node")
        }
        limitHolders.areMembersListed = true
        return true
    }

    private fun logUnreadable(stored: StoredObject, reason: String?) = log.record(
        "stored_object_unreadable",
        "kind" to stored.kind.path,
        "name" to loggedName(stored.name),
        "reason" to reason,
    )

    private fun recordStrayBytes(stray: StrayBytes) {
        val head = stray.response?.let(protocol::parseResponseHead)
        log.record(
            "stray_bytes",
            "address" to stray.address,
            "arrival" to stray.arrival,
            "status" to head?.status,
            "request_id" to head?.requestId?.let(::loggedName),
        )
        metrics.countStrayBytes(stray.arrival)
    }

    private fun registerGauges() {
        metrics.registerGauge("requests.in.flight", "Requests of callers that are being served") {
            callerHandler.inFlight
        }
        metrics.registerGauge("caller.bytes", "Memory that is held for callers") { callerMemory.totalBytes }
        metrics.registerGauge("caller.connections", "Open connections of callers") { callerMemory.connections }
        metrics.registerGauge("items.running", "Batch items that run at backend servers") { runner.runningItems }
        metrics.registerGauge("items.waiting", "Batch items that wait for a spare slot") { runner.waitingItems }
        metrics.registerGauge("members", "Entry nodes that may be alive") { members.size }
        metrics.registerGauge("members.silent", "Entry nodes that have not been heard of lately") {
            members.unreachableCount
        }
        metrics.registerGauge("quarantined.parts", "Prompt parts that are refused because servers crashed on them") {
            quarantine.size
        }
        metrics.registerGauge("limited.servers", "Backend servers that limit the requests of all nodes together") {
            limits.size
        }
        metrics.registerGauge("cold.servers", "Backend servers that take few requests because they may be cold") {
            limits.coldSize
        }
        metrics.registerGauge("evacuated.domains", "Failure domains whose backend servers get no new requests") {
            evacuations.domains.size
        }
        metrics.registerGauge("slow.servers", "Backend servers that are slower than others of their service") {
            tracker.speeds.slowServers
        }
        metrics.registerGauge("configuration.version", "Version in force, 0 if none") { configuration.version }
    }

    private inner class LocalFleetPeer : FleetPeer {
        override suspend fun exchange(state: NodeState): Result<NodeState, PeerError> =
            Ok(stateExchange.handleExchange(state))

        override suspend fun fetchSnapshot(kind: SnapshotKind): Result<Snapshot, PeerError> = sharedState.snapshot(kind)

        override suspend fun readResults(
            job: String,
            customer: String,
            after: Int,
            waitMillis: Long,
        ): Result<JobPage?, PeerError> = Ok(jobHandler.localPage(job, customer, after, waitMillis))

        override suspend fun readItem(job: String, customer: String, item: String): Result<ItemBody, PeerError> =
            Ok(jobHandler.localItem(job, customer, item))

        override suspend fun cancelJob(job: String): Result<Boolean, PeerError> {
            cancelledJobs.add(job)
            return Ok(runner.cancelJob(job))
        }

        override suspend fun checkJobs(jobs: List<String>): Result<Unit, PeerError> {
            scope.launch { failover.ensureRunning(jobs) }
            return Ok(Unit)
        }
    }

    private companion object {
        /** Average delay before a watch of the platform is restarted. */
        const val WATCH_RETRY_MILLIS = 700L

        const val REGISTER_RETRY_MILLIS = 1_000L

        /** Interval of the `summary` log line. */
        const val SUMMARY_MILLIS = 10_000L

        /** Time that a node allows each node before it in name order to confirm a retirement. */
        const val RETIREMENT_STAGGER_MILLIS = 400L

        /** Keep-alive ping interval of peer connections; without a reply they are closed two seconds later. */
        const val PEER_KEEPALIVE_SECONDS = 10L

        /** The load balancer sees within two health checks, one second apart, that the node is not ready. */
        const val BALANCER_DELAY_MILLIS = 2_500L

        const val DRAIN_CHECK_MILLIS = 100L

        /** The process exits this long before the platform would kill it. */
        const val STOP_MARGIN_MILLIS = 700L
    }
}
