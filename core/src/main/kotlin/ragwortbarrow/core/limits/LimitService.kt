package ragwortbarrow.core.limits

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.lease.LimitShardLease
import ragwortbarrow.core.lease.LimitShardRecord
import ragwortbarrow.core.lease.StandbyClient
import ragwortbarrow.core.lease.StandbyState
import ragwortbarrow.core.lease.withTimeoutOrNull
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.ConsentReply
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PromiseReply
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectPage
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import java.util.concurrent.ConcurrentHashMap

/**
 * Rate limiting on one node: owns limit shards of the node's failure domain, acts as a standby for other owners, and
 * admits requests.
 *
 * [start] must be called after the node listens on `self.peerAddress`, because a claim after a restart relies on the
 * bound address as proof that the previous process has ended. Peers may call this service earlier.
 */
class LimitService internal constructor(
    private val self: MemberInfo,
    private val timer: TimerService,
    private val store: ObjectStore,
    connector: PeerConnector,
    private val members: MemberView,
    private val configuration: ConfigurationView,
    private val log: DecisionLog,
    private val scope: CoroutineScope,
    private val settings: LimitSettings,
    private val standbyState: StandbyState,
    bucketFactory: TokenBucketFactory,
) {
    constructor(
        self: MemberInfo,
        timer: TimerService,
        store: ObjectStore,
        connector: PeerConnector,
        members: MemberView,
        configuration: ConfigurationView,
        log: DecisionLog,
        scope: CoroutineScope,
        settings: LimitSettings = LimitSettings(),
    ) : this(
        self = self,
        timer = timer,
        store = store,
        connector = connector,
        members = members,
        configuration = configuration,
        log = log,
        scope = scope,
        settings = settings,
        standbyState = StandbyState(self, timer, settings),
        bucketFactory = TokenBucketFactory(::TokenBucket),
    )

    private val layouts = LayoutView(configuration)
    private val standbyClient = StandbyClient(timer, members, connector, settings)
    private val directory = OwnerDirectory(self.vm, timer, members, connector, settings)
    private val grantReporter = GrantReporter(self.vm, timer, directory, scope, settings)
    private val localSource = LocalTokenSource(
        self = self.vm,
        timer = timer,
        members = members,
        configuration = configuration,
        layouts = layouts,
        directory = directory,
        grantReporter = grantReporter,
        scope = scope,
        settings = settings,
        bucketFactory = bucketFactory,
    ).also(directory::setLocalSource)
    private val leases = ConcurrentHashMap<LimitShardId, LimitShardLease>()

    @Volatile
    private var job: Job? = null

    /** Limits the requests that reach this node. */
    val limiter: AdmissionLimiter = FleetLimiter(
        self = self.vm,
        failureDomain = self.failureDomain,
        timer = timer,
        layouts = layouts,
        directory = directory,
        localSource = localSource,
        grantReporter = grantReporter,
        scope = scope,
        settings = settings,
    )

    private val readiness = LimitReadiness(self, directory)

    /** Whether all shard owners of the failure domain have answered since the start; until then, requests may fail. */
    val isReady: Boolean get() = readiness.isReady

    val ownedShards: List<LimitShardId> get() = leases.filterValues { it.remainingMillis() > 0 }.keys.toList()

    /** Starts to monitor, claim and renew leases. */
    fun start() {
        configuration.subscribe {
            localSource.configure()
            // Applies smaller shares of a new layout immediately rather than at the next tick.
            scope.launch { tick() }
        }
        job = scope.launch {
            while (true) {
                tick()
                timer.pause(settings.tickMillis)
            }
        }
    }

    /** Hands over the bucket levels and releases the leases. This node's limiter refuses requests afterwards. */
    suspend fun stop() {
        job?.cancel()
        leases.values.map { lease -> scope.launch { lease.close() } }.joinAll()
    }

    /** Takes tokens from buckets that this node owns. */
    suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError> = localSource.acquire(request)

    /** Releases grants of buckets that this node owns. */
    suspend fun returnTokens(request: ReturnRequest): Result<Unit, PeerError> = localSource.returnTokens(request)

    /** As the standby, promises an owner not to consent to a takeover for one term. */
    suspend fun promise(request: PromiseRequest): Result<PromiseReply, PeerError> {
        if (request.termMillis > 0) return Ok(standbyState.promise(request))
        // A promise request with a term of zero announces a changed record; a released shard can be claimed at once.
        leases[request.shard]?.let { lease ->
            lease.scheduleRead()
            scope.launch { logFailures { lease.step() } }
        }
        return Ok(PromiseReply(promised = false, reason = "no term"))
    }

    /** As the standby, consents to a takeover unless a promise has not expired yet. */
    suspend fun consent(request: ConsentRequest): Result<ConsentReply, PeerError> = Ok(standbyState.consent(request))

    private suspend fun tick() {
        val layout = layouts.current ?: return
        layout.shards.filter { it.failureDomain == self.failureDomain }.forEach { shard ->
            leases.computeIfAbsent(shard, ::newLease)
        }
        leases.values.forEach { lease -> scope.launch { logFailures { lease.step() } } }
        if (leases.values.any { it.pendingLayouts != null }) scope.launch { logFailures { completeLayoutChanges() } }
        if (!isReady) scope.launch { logFailures { readiness.probe(layout) } }
    }

    private suspend fun logFailures(block: suspend () -> Unit) {
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.record("limit_shard_step_failed", "error" to e.toString())
        }
    }

    /** Completes layout changes, which allows larger shares, once the records of all shards show the new layout. */
    private suspend fun completeLayoutChanges() {
        val pending = leases.values.mapNotNull { lease -> lease.pendingLayouts?.let { lease to it } }
        val records = readRecords() ?: return
        val adopted = pending.filter { (_, set) -> set.isAdoptedBy(records) }
        if (adopted.isEmpty()) return
        // Grants that were issued from larger shares of the older layouts may still be spent.
        timer.pause(settings.grantEndMillis)
        adopted.forEach { (lease, set) -> lease.completeLayoutChange(set) }
    }

    private suspend fun readRecords(): Map<String, LimitShardRecord>? {
        val records = HashMap<String, LimitShardRecord>()
        var token: String? = null
        do {
            val page: ObjectPage = timer.withTimeoutOrNull(settings.storeTimeoutMillis) {
                store.list(ObjectKind.LIMIT_SHARDS, continueToken = token)
            }?.get() ?: return null
            page.items.forEach { records[it.name] = LimitShardRecord.of(it) }
            token = page.continueToken
        } while (token != null)
        return records
    }

    private fun newLease(shard: LimitShardId) = LimitShardLease(
        shard = shard,
        self = self,
        store = store,
        timer = timer,
        members = members,
        standbyClient = standbyClient,
        standbyState = standbyState,
        callbacks = localSource.ownershipCallbacks(shard),
        settings = settings,
        log = log,
        activeLayout = layouts::active,
    )
}
