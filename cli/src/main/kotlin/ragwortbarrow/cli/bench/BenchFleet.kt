package ragwortbarrow.cli.bench

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.launch
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendClient
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.backend.StreamEvent
import ragwortbarrow.core.batch.BatchRuntime
import ragwortbarrow.core.batch.BatchService
import ragwortbarrow.core.batch.BatchSettings
import ragwortbarrow.core.batch.JobRequest
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Model
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause

/** The parts that batch benchmarks share: members, configuration and a batch runtime for each simulated node. */
internal class BenchFleet(
    val timer: TimerService,
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    servers: List<BackendServer>,
    private val client: BackendClient,
    private val peerLatencyMillis: Long = 1,
    private val settings: BatchSettings = BatchSettings(),
) : ConfigurationView {
    override val current =
        ConfigurationSnapshot(1, benchSnapshot(servers).manifest.copy(models = listOf(Model(benchTarget.model))))
    private val runtimes = LinkedHashMap<VmId, BatchRuntime>()
    private val infos = LinkedHashMap<VmId, MemberInfo>()

    override fun subscribe(listener: (ConfigurationSnapshot) -> Unit) = listener(current)

    fun runtime(vm: VmId): BatchRuntime = runtimes.getValue(vm)

    /** Starts a node; [gate] wraps what it uses, so that a benchmark can cut it off. */
    fun start(vm: VmId, incarnation: Long, gate: BenchGate): BatchRuntime {
        val info = MemberInfo(vm, incarnation, 1, benchDomain(0), vm.value, vm.value)
        infos[vm] = info
        val runtime = BatchRuntime(
            self = info,
            timer = gate.timer(timer),
            store = gate.store(store),
            client = gate.client(client),
            connector = { address -> BenchPeer { report -> deliver(address, report) } },
            members = members(info),
            configuration = this,
            decisions = DecisionLog.NONE,
            scope = scope,
            settings = settings,
        )
        runtimes[vm] = runtime
        runtime.start()
        return runtime
    }

    /** Shows a live member that does nothing. */
    fun join(vm: VmId, incarnation: Long) {
        infos[vm] = MemberInfo(vm, incarnation, 1, benchDomain(0), vm.value, vm.value)
    }

    /** Takes a node out of the members that others see. */
    fun leave(vm: VmId) {
        infos.remove(vm)
        runtimes.remove(vm)
    }

    private suspend fun deliver(address: String, report: OnlineLoadReport) {
        timer.pause(peerLatencyMillis)
        runtimes[VmId(address)]?.acceptOnlineLoad(report)
    }

    private fun members(info: MemberInfo) = object : MemberView {
        override val self: MemberInfo = info

        override fun live(failureDomain: FailureDomainId?): List<MemberInfo> = infos.values.sortedBy { it.vm.value }

        override fun member(vm: VmId): MemberInfo? = infos[vm]

        override fun ownerOf(shard: LimitShardId): ShardOwner? = null

        override fun announce(owner: ShardOwner) = Unit

        override fun platformAgeMillis(): Long = 0

        override fun domainAgeMillis(failureDomain: FailureDomainId): Long = 0
    }

    /** Submits a job of [items] items and calls [onJob] with its id. */
    fun submit(service: BatchService, items: Int, onJob: (String) -> Unit) {
        scope.launch {
            val content = (0 until items).joinToString("\n") {
                val body = """{"model":"${benchTarget.model}","messages":[{"role":"user","content":"lot $it"}]}"""
                """{"custom_id":"item-$it","method":"POST","url":"$BENCH_ENDPOINT","body":$body}"""
            }
            val file = service.createFile(BENCH_CUSTOMER, "bench.jsonl", content.encodeToByteArray())
                .getOrElse { error("$it") }
            onJob(service.createJob(BENCH_CUSTOMER, JobRequest(file.id, BENCH_ENDPOINT)).getOrElse { error("$it") }.id)
        }
    }
}

internal val BENCH_CUSTOMER = CustomerId("bench")
internal const val BENCH_ENDPOINT = "/v1/chat/completions"

/** Wraps what a simulated node uses; the default passes everything through. */
internal interface BenchGate {
    fun timer(timer: TimerService): TimerService = timer

    fun store(store: ObjectStore): ObjectStore = store

    fun client(client: BackendClient): BackendClient = client

    data object Open : BenchGate
}

/** A backend client whose requests are answered by [run]; batch work neither streams nor resumes. */
internal abstract class BenchClient : BackendClient {
    override fun stream(server: BackendServer, request: BackendRequest): Flow<StreamEvent> = error("not streamed")

    override fun resume(server: BackendServer, requestId: RequestId, fromOffset: Long) = error("not streamed")

    abstract override suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome

    abstract override suspend fun fetchLoadReport(server: BackendServer): Result<LoadReport, ServingError>
}

/** A peer that takes online load only. */
private class BenchPeer(private val onReport: suspend (OnlineLoadReport) -> Unit) : PeerService {
    override suspend fun reportOnlineLoad(report: OnlineLoadReport): Result<Unit, PeerError> {
        onReport(report)
        return Ok(Unit)
    }

    override suspend fun exchange(message: GossipMessage) = unused()

    override suspend fun fetchHead() = unused()

    override suspend fun fetchParts(sha256: List<String>) = unused()

    override suspend fun updateKeys(update: KeyUpdate) = unused()

    override suspend fun acquire(request: AcquireRequest) = unused()

    override suspend fun returnTokens(request: ReturnRequest) = unused()

    override suspend fun promise(request: PromiseRequest) = unused()

    override suspend fun consent(request: ConsentRequest) = unused()

    private fun unused(): Nothing = error("not used by batch work")
}
