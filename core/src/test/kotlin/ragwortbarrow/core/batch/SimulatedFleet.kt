package ragwortbarrow.core.batch

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.Model
import ragwortbarrow.core.manifest.Service
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.ShardOwner
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.StoreFault
import ragwortbarrow.core.store.StoreFaultInjector
import ragwortbarrow.core.time.ManualTimerService

internal val ARUSHA = FailureDomainId("arusha")
internal val PRINTER = CustomerId("printer")
internal const val CHAT_ENDPOINT = "/v1/chat/completions"
internal const val LABELS_ENDPOINT = "/labels"

/** Several nodes with their backend servers, platform and clock on one thread with virtual time. */
internal class SimulatedFleet(
    nodeCount: Int = 3,
    serverCount: Int = 4,
    val settings: BatchSettings = BatchSettings(),
    var faults: StoreFaultInjector = StoreFaultInjector.NONE,
    slots: Int = 8,
    variant: StoreVariant = StoreVariant.FAITHFUL,
    engineMillis: (String) -> Long = { 1_000 },
) : ConfigurationView {
    val timer = ManualTimerService()
    val store = InMemoryObjectStore({ operation, kind, name -> faults.faultFor(operation, kind, name) })
    val platform = variant.wrap(store)
    val engines = FakeEngines(timer, engineMillis)
    val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
    private val manifest = Manifest(
        name = "test",
        fleet = Fleet(listOf(FailureDomain(ARUSHA))),
        models = listOf(Model("wording")),
        services = listOf(Service("labels", LABELS_ENDPOINT)),
        customers = listOf(Customer(PRINTER, 10.0, 10)),
        backendServers = (1..serverCount).map {
            BackendServer(BackendServerId("s$it"), "", ARUSHA, models = listOf("wording"), slots = slots)
        } + (1..2).map { BackendServer(BackendServerId("p$it"), "", ARUSHA, service = "labels", slots = slots) },
    )
    override val current = ConfigurationSnapshot(1, manifest)
    val nodes = LinkedHashMap<VmId, SimulatedNode>()

    /** Members that each node considers live; a test can replace it to give nodes different views. */
    var liveOf: (VmId) -> List<MemberInfo> = { nodes.values.filter { !it.killed && !it.frozen }.map { it.info } }

    init {
        repeat(nodeCount) { add(VmId("vm-${it + 1}"), 1) }
    }

    fun add(vm: VmId, incarnation: Long): SimulatedNode =
        SimulatedNode(this, MemberInfo(vm, incarnation, 1, ARUSHA, vm.value, vm.value)).also {
            nodes[vm] = it
            it.start()
        }

    fun node(number: Int): SimulatedNode = nodes.getValue(VmId("vm-$number"))

    fun restart(vm: VmId) {
        val earlier = nodes.getValue(vm)
        earlier.kill()
        add(vm, earlier.info.incarnation + 1)
    }

    override fun subscribe(listener: (ConfigurationSnapshot) -> Unit) = listener(current)

    fun members(self: MemberInfo) = object : MemberView {
        override val self: MemberInfo = self

        override fun live(failureDomain: FailureDomainId?): List<MemberInfo> =
            (liveOf(self.vm) + self).distinctBy { it.vm }.sortedBy { it.vm.value }

        override fun member(vm: VmId): MemberInfo? = nodes[vm]?.info

        override fun ownerOf(shard: LimitShardId): ShardOwner? = null

        override fun announce(owner: ShardOwner) = Unit

        override fun platformAgeMillis(): Long = 0

        override fun domainAgeMillis(failureDomain: FailureDomainId): Long = 0
    }

    /** Runs [body] and advances time until it returns. */
    fun <T> await(limitMillis: Long = 3_600_000, body: suspend () -> T): T {
        var outcome: kotlin.Result<T>? = null
        scope.launch { outcome = runCatching { body() } }
        advanceUntil(limitMillis) { outcome != null }
        return checkNotNull(outcome).getOrThrow()
    }

    fun advanceUntil(limitMillis: Long = 3_600_000, condition: () -> Boolean) {
        val end = timer.nanoTime() + limitMillis * 1_000_000
        while (!condition()) {
            check(timer.nanoTime() < end) { "condition not met within $limitMillis ms" }
            timer.advance(10)
        }
    }

    fun <T> ok(body: suspend () -> Result<T, ServingError>): T = await { body() }.getOrElse { error("$it") }

    /** Submits a job with one item for each id, through node [number]. */
    fun submit(
        ids: List<String>,
        url: String = CHAT_ENDPOINT,
        customer: CustomerId = PRINTER,
        number: Int = 1,
    ): BatchJob {
        val service = node(number).runtime.service
        val file = ok { service.createFile(customer, "in.jsonl", input(ids, url)) }
        return ok { service.createJob(customer, JobRequest(file.id, url)) }
    }

    fun job(id: String, customer: CustomerId = PRINTER): BatchJob =
        ok { StoredBatchService(store, timer, this, WriterTokens(VmId("reader"), 1)).job(customer, id) }

    fun awaitState(id: String, state: JobState, limitMillis: Long = 3_600_000) {
        var seen: JobState? = null
        advanceUntil(limitMillis) {
            repeat(50) { timer.advance(10) }
            seen = withoutFaults { job(id).state }
            seen == state
        }
    }

    /** Returns the custom id and the line of each result in the output file. */
    fun output(id: String, customer: CustomerId = PRINTER): List<Pair<String, String>> = withoutFaults {
        val reader = StoredBatchService(store, timer, this, WriterTokens(VmId("reader"), 1))
        val content = ok { reader.fileContent(customer, BatchNames.outputFileId(id)) }.decodeToString()
        content.lines().filter { it.isNotEmpty() }.map { line ->
            Regex("\"custom_id\":\"([^\"]+)\"").find(line)!!.groupValues[1] to line
        }
    }

    fun <T> withoutFaults(body: () -> T): T {
        val before = faults
        faults = StoreFaultInjector.NONE
        return try {
            body()
        } finally {
            faults = before
        }
    }

    companion object {
        fun input(ids: List<String>, url: String = CHAT_ENDPOINT): ByteArray = ids.joinToString("\n") {
            val model = if (url == CHAT_ENDPOINT) "\"model\":\"wording\"," else ""
            """{"custom_id":"$it","method":"POST","url":"$url","body":{$model"prompt":"$it"}}"""
        }.encodeToByteArray()

        val OUTAGE = StoreFaultInjector { _, _, _ -> StoreFault.Unavailable }
    }
}

internal val NO_LOG = DecisionLog.NONE

internal val OK_UNIT: Result<Unit, Nothing> = Ok(Unit)
