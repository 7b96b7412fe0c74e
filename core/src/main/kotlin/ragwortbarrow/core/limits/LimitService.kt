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
import ragwortbarrow.core.lease.LeasePeers
import ragwortbarrow.core.lease.LimitShardLease
import ragwortbarrow.core.lease.LimitShardRecord
import ragwortbarrow.core.lease.StandbyDuty
import ragwortbarrow.core.lease.withDeadline
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
 * The limits of one node: it owns limit shards of its failure domain, acts as a standby, and admits requests.
 *
 * [start] must be called after the node listens on `self.peerAddress`, because a claim after a restart takes the bound
 * address as proof that the earlier process has ended. Calls of peers may come before that.
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
    private val duty: StandbyDuty,
    accountFactory: AccountFactory,
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
        duty = StandbyDuty(self, timer, settings),
        accountFactory = AccountFactory(::Account),
    )

    private val layouts = LayoutView(configuration)
    private val peers = LeasePeers(timer, members, connector, settings)
    private val directory = OwnerDirectory(self.vm, timer, members, connector, settings)
    private val outbox = SettlementOutbox(self.vm, timer, directory, scope, settings)
    private val owner = LimitOwner(
        self = self.vm,
        timer = timer,
        members = members,
        configuration = configuration,
        layouts = layouts,
        directory = directory,
        outbox = outbox,
        scope = scope,
        settings = settings,
        accountFactory = accountFactory,
    ).also(directory::useLocal)
    private val leases = ConcurrentHashMap<LimitShardId, LimitShardLease>()

    @Volatile
    private var job: Job? = null

    /** Admits requests that reach this node. */
    val limiter: AdmissionLimiter = FleetLimiter(
        self = self.vm,
        failureDomain = self.failureDomain,
        timer = timer,
        layouts = layouts,
        directory = directory,
        owner = owner,
        outbox = outbox,
        scope = scope,
        settings = settings,
    )

    private val readiness = LimitReadiness(self, directory)

    /** Whether accounts could be asked since the start; requests that come earlier would be refused. */
    val isReady: Boolean get() = readiness.isReady

    /** The shards that this node owns now. */
    val ownedShards: List<LimitShardId> get() = leases.filterValues { it.remainingMillis() > 0 }.keys.toList()

    /** Begins to watch, claim and renew leases. */
    fun start() {
        configuration.subscribe {
            owner.configure()
            // A smaller share from a new layout takes effect without waiting for the next tick.
            scope.launch { tick() }
        }
        job = scope.launch {
            while (true) {
                tick()
                timer.pause(settings.tickMillis)
            }
        }
    }

    /** Hands the accounts over and releases the leases. Requests are refused by this node's limiter afterwards. */
    suspend fun stop() {
        job?.cancel()
        leases.values.map { lease -> scope.launch { lease.close() } }.joinAll()
    }

    /** Takes tokens from accounts that this node owns. */
    suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError> = owner.acquire(request)

    /** Settles grants of accounts that this node owns. */
    suspend fun returnTokens(request: ReturnRequest): Result<Unit, PeerError> = owner.returnTokens(request)

    /** Promises an owner to consent to no other one for a term. */
    suspend fun promise(request: PromiseRequest): Result<PromiseReply, PeerError> {
        if (request.termMillis > 0) return Ok(duty.promise(request))
        // A promise for no time is how an owner tells of a change; a released shard is then claimed without delay.
        leases[request.shard]?.let { lease ->
            lease.watchSoon()
            scope.launch { guarded { lease.step() } }
        }
        return Ok(PromiseReply(promised = false, reason = "no term"))
    }

    /** Consents to a takeover as the standby, unless a promise is outstanding. */
    suspend fun consent(request: ConsentRequest): Result<ConsentReply, PeerError> = Ok(duty.consent(request))

    private suspend fun tick() {
        val layout = layouts.current ?: return
        layout.shards.filter { it.failureDomain == self.failureDomain }.forEach { shard ->
            leases.computeIfAbsent(shard, ::newLease)
        }
        leases.values.forEach { lease -> scope.launch { guarded { lease.step() } } }
        if (leases.values.any { it.unsettledLayouts != null }) scope.launch { guarded { agreeOnLayouts() } }
        if (!isReady) scope.launch { guarded { readiness.probe(layout) } }
    }

    private suspend fun guarded(block: suspend () -> Unit) {
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.record("limit_shard_step_failed", "error" to e.toString())
        }
    }

    /** Lets accounts take grown shares after the records of all shards show the layout in force. */
    private suspend fun agreeOnLayouts() {
        val open = leases.values.mapNotNull { lease -> lease.unsettledLayouts?.let { lease to it } }
        val records = readRecords() ?: return
        val agreed = open.filter { (_, set) -> set.isShownBy(records) }
        if (agreed.isEmpty()) return
        // Grants from larger shares of the older layouts may still be spent.
        timer.pause(settings.grantEndMillis)
        agreed.forEach { (lease, set) -> lease.settleLayouts(set) }
    }

    private suspend fun readRecords(): Map<String, LimitShardRecord>? {
        val records = HashMap<String, LimitShardRecord>()
        var token: String? = null
        do {
            val page: ObjectPage = timer.withDeadline(settings.storeDeadlineMillis) {
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
        peers = peers,
        duty = duty,
        holder = owner.holderOf(shard),
        settings = settings,
        log = log,
        inForce = layouts::inForce,
    )
}
