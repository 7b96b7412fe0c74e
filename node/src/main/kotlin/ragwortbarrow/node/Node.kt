package ragwortbarrow.node

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import ragwortbarrow.backend.HttpBackendClient
import ragwortbarrow.backend.LoadPoller
import ragwortbarrow.core.batch.BatchRuntime
import ragwortbarrow.core.config.ConfigurationHolder
import ragwortbarrow.core.config.ConfigurationSync
import ragwortbarrow.core.keys.KeyRing
import ragwortbarrow.core.keys.KeySync
import ragwortbarrow.core.limits.LimitService
import ragwortbarrow.core.log.record
import ragwortbarrow.core.membership.GossipMembership
import ragwortbarrow.core.membership.LeavingVmWatcher
import ragwortbarrow.core.membership.StoreSeedNodes
import ragwortbarrow.core.membership.VmLeaseRenewer
import ragwortbarrow.core.membership.VmLeaseSweeper
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.routing.RoutedOnlineService
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.time.StartupGate
import ragwortbarrow.node.drain.Drain
import ragwortbarrow.node.http.CallerParts
import ragwortbarrow.node.http.HttpServer
import ragwortbarrow.node.metrics.NodeGauges
import ragwortbarrow.node.metrics.NodeMetrics
import ragwortbarrow.node.settings.Settings
import ragwortbarrow.objectapi.HttpObjectStore
import ragwortbarrow.objectapi.SystemTimerService
import ragwortbarrow.peer.GrpcPeerConnector
import ragwortbarrow.peer.GrpcPeerServer
import ragwortbarrow.telemetry.KeyValueLog

/**
 * One node: the parts of the core joined with their adapters.
 *
 * [start] binds both addresses before anything is claimed. A process that has bound the addresses of its VM proves that
 * an earlier process of the VM has ended.
 */
class Node(private val settings: Settings) {
    private val log = KeyValueLog()
    private val scope = CoroutineScope(
        SupervisorJob() + Dispatchers.Default +
            CoroutineExceptionHandler { _, failure -> log.error("background_failure", failure) },
    )
    private val timer = SystemTimerService()
    private val metrics = NodeMetrics()
    private val drain = Drain(timer)
    private val self = MemberInfo(
        vm = settings.vm,
        incarnation = timer.wallMillis(),
        heartbeat = 0,
        failureDomain = settings.failureDomain,
        peerAddress = settings.peerAdvertise.toString(),
        httpAddress = settings.advertise.toString(),
    )
    private val store = HttpObjectStore(baseUrl = settings.platformUrl, listener = metrics::platformCalled)
    private val writer = IdempotentWriter(store = store, timer = timer, writer = "${self.vm}/${self.incarnation}")
    private val channels = GrpcPeerConnector(tls = settings.peerTls)
    private val connector = PeerConnector { address -> channels.connect(settings.peerRoutes[address] ?: address) }
    private val configuration = ConfigurationHolder(decisionLog = log)
    private val vmList = LeavingVmWatcher(store = store, timer = timer, scope = scope, decisionLog = log)
    private val members: GossipMembership = GossipMembership(
        self = self,
        timer = timer,
        connector = connector,
        scope = scope,
        seedNodes = StoreSeedNodes(store),
        configurationVersion = { configuration.status.appliedVersion },
        keysDigest = { keySync.keysDigest() },
        listener = { peer, message ->
            configurationSync.handlePeerVersion(peer, message.configurationVersion)
            keySync.handlePeerDigest(peer, message.keysDigest)
        },
    )
    private val configurationSync = ConfigurationSync(
        store = store,
        holder = configuration,
        members = members,
        connector = connector,
        timer = timer,
        scope = scope,
        decisionLog = log,
    )
    private val keys = KeyRing(members = members, configuration = configuration)
    private val keySync: KeySync = KeySync(
        store = store,
        writer = writer,
        ring = keys,
        members = members,
        connector = connector,
        timer = timer,
        scope = scope,
        decisionLog = log,
        onPlatformConfirmed = members::recordPlatformContact,
    )
    private val lease = VmLeaseRenewer(
        store = store,
        writer = writer,
        timer = timer,
        scope = scope,
        self = self,
        configurationStatus = { configuration.status },
        decisionLog = log,
    )
    private val leaseSweeper = VmLeaseSweeper(
        store = store,
        members = members,
        timer = timer,
        scope = scope,
        decisionLog = log,
    )
    private val limits = LimitService(
        self = self,
        timer = timer,
        store = store,
        connector = connector,
        members = members,
        configuration = configuration,
        log = log,
        scope = scope,
    )

    // Requests with a key would be refused before the key state is fresh and the accounts have owners.
    private val admission = StartupGate(timer) { keys.isFresh() && limits.isReady }
    private val client = HttpBackendClient()
    private val online = RoutedOnlineService(
        client = client,
        configuration = configuration,
        timer = timer,
        failureDomain = settings.failureDomain,
        decisionLog = log,
        isLeaving = { server -> vmList.isLeaving(server, configuration.current) },
    )
    private val loadPoller = LoadPoller(
        client = client,
        configuration = configuration,
        loads = online.loads,
        timer = timer,
        failureDomain = settings.failureDomain,
    )
    private val batch = BatchRuntime(
        self = self,
        timer = timer,
        store = store,
        client = client,
        connector = connector,
        members = members,
        configuration = configuration,
        decisions = log,
        scope = scope,
        isLeaseHeld = lease::isHeld,
    )
    private val peerServer = GrpcPeerServer(
        host = settings.peerListen.host,
        port = settings.peerListen.port,
        service = NodePeerService(
            members = members,
            configuration = configurationSync,
            keys = keySync,
            limits = limits,
            batch = batch,
        ),
        tls = settings.peerTls,
    )
    private val httpServer = HttpServer(
        listen = settings.listen,
        parts = CallerParts(
            configuration = configuration,
            keys = keys,
            limiter = limits.limiter,
            online = online,
            batch = batch.service,
            drain = drain,
            metrics = metrics,
            timer = timer,
            log = log,
            keysLoaded = { keys.isLoaded },
            canAdmit = { admission.isOpen },
            bodyLimitBytes = settings.bodyLimitBytes,
            fileLimitBytes = settings.fileLimitBytes,
            requestTimeoutMillis = settings.requestTimeoutMillis,
        ),
    )

    /** Binds both addresses, throwing if one is taken, and then takes part in the fleet. */
    fun start() {
        peerServer.start()
        httpServer.start()
        metrics.observe(
            NodeGauges(
                drain = drain,
                liveMembers = { members.live().size },
                platformAgeMillis = members::platformAgeMillis,
                configurationVersion = { configuration.status.appliedVersion },
                ownedShards = { limits.ownedShards.size },
                waitingRequests = online::waiting,
            ),
        )
        online.loads.addListener(BatchLoadListener(batch))
        vmList.start()
        members.start()
        configurationSync.start()
        keySync.start()
        lease.start()
        leaseSweeper.start()
        limits.start()
        online.start()
        loadPoller.start()
        batch.start()
        timer.every(CONNECTION_CHECK_MILLIS) {
            channels.retain(members.peerAddresses().map { settings.peerRoutes[it] ?: it }.toSet())
        }
        log.record(
            "node_started",
            "vm" to self.vm,
            "incarnation" to self.incarnation,
            "failure_domain" to self.failureDomain,
            "listen" to settings.listen,
            "peer_listen" to settings.peerListen,
        )
    }

    /**
     * Drains and stops: the node reports not ready, goes on serving until the load balancer has noticed, refuses new
     * requests, finishes those in flight, and hands its chunks, accounts and leases over.
     */
    suspend fun stop() {
        log.record("drain_started", "in_flight" to drain.inFlight)
        members.leave()
        coroutineScope {
            launch { batch.stop() }
            val idle = drain.run(settings.drainDelayMillis, settings.drainLimitMillis)
            if (!idle) log.warn("drain_limit_reached", "in_flight" to drain.inFlight)
        }
        limits.stop()
        leaseSweeper.stop()
        lease.stop()
        loadPoller.stop()
        online.stop()
        keySync.stop()
        configurationSync.stop()
        vmList.stop()
        members.stop()
        httpServer.stop()
        peerServer.stop()
        scope.cancel()
        channels.close()
        client.close()
        store.close()
        timer.close()
        log.record("node_stopped", "vm" to self.vm)
    }

    private companion object {
        const val CONNECTION_CHECK_MILLIS = 60_000L
    }
}
