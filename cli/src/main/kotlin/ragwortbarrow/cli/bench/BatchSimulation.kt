package ragwortbarrow.cli.bench

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.batch.BatchJob
import ragwortbarrow.core.batch.JobState
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreFault
import ragwortbarrow.core.store.StoreFaultInjector
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.pause
import java.lang.management.ManagementFactory
import kotlin.math.ln
import kotlin.random.Random

/** What the batch benchmark assumes. */
data class BatchScenario(
    val items: Int = 10_000,
    val workers: Int = 6,
    val servers: Int = 12,
    val slots: Int = 8,
    val kills: Int = 4,
    val firstTokenMillis: Long = 200,
    val meanGenerationMillis: Double = 1_800.0,
    val platformMillis: Long = 5,
    val seed: Long = 1,
)

/** What became of the job. */
data class BatchOutcome(
    val itemsPerSecond: Double,
    val platformCallsPerThousandItems: Double,
    val kills: Int,
    val itemsRunAgainPerKill: Double,
    val completedItems: Int,
    val cpuMicrosPerItem: Double,
)

/** Runs one job over several workers in virtual time; killed workers are replaced by VMs with new ids. */
internal class BatchSimulation(private val scenario: BatchScenario) {
    private val timer = ManualTimerService()
    private val store = InMemoryObjectStore(
        StoreFaultInjector { _, _, _ ->
            timer.pause(scenario.platformMillis)
            StoreFault.None
        },
    )
    private val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
    private val random = Random(scenario.seed)
    private val client = CountingClient()
    private val fleet = BenchFleet(
        timer = timer,
        scope = scope,
        store = store,
        servers = benchServers(scenario.servers, scenario.slots, domains = 1),
        client = client,
    )
    private val gates = LinkedHashMap<VmId, KillGate>()
    private var nextVm = 0
    private var kills = 0

    fun run(): BatchOutcome {
        val cpuBefore = ManagementFactory.getThreadMXBean().currentThreadCpuTime
        repeat(scenario.workers) { startWorker() }
        timer.advance(1_000)
        val callsBefore = store.calls
        val startMillis = elapsed()
        var jobId: String? = null
        fleet.submit(fleet.runtime(gates.keys.first()).service, scenario.items) { jobId = it }
        var polls = 0
        var job: BatchJob? = null
        val expectedMillis = expectedMillis()
        while (job?.state != JobState.COMPLETED) {
            timer.advance(STEP_MILLIS)
            check(elapsed() - startMillis < expectedMillis * 20 + LIMIT_MILLIS) { "the job does not end: $job" }
            val dueKills = ((elapsed() - startMillis) * (scenario.kills + 1) / expectedMillis).toInt()
            if (kills < minOf(dueKills, scenario.kills)) kill()
            jobId?.let {
                polls += pollCalls(store.calls) { job = read(it) }
            }
        }
        val calls = store.calls - callsBefore - polls
        val seconds = (elapsed() - startMillis) / 1_000.0
        val cpuNanos = ManagementFactory.getThreadMXBean().currentThreadCpuTime - cpuBefore
        scope.cancel()
        return BatchOutcome(
            itemsPerSecond = scenario.items / seconds,
            platformCallsPerThousandItems = calls * 1_000.0 / scenario.items,
            kills = kills,
            itemsRunAgainPerKill = if (kills == 0) 0.0 else (client.starts - scenario.items).toDouble() / kills,
            completedItems = job?.completedItems ?: 0,
            cpuMicrosPerItem = cpuNanos / 1_000.0 / scenario.items,
        )
    }

    /** The benchmark's own polls of the job do not count as calls of batch work. */
    private fun pollCalls(before: Long, poll: () -> Unit): Int {
        poll()
        return (store.calls - before).toInt()
    }

    private fun read(jobId: String): BatchJob? {
        var found: BatchJob? = null
        var done = false
        scope.launch {
            found = fleet.runtime(gates.keys.first()).service.job(BENCH_CUSTOMER, jobId).get()
            done = true
        }
        while (!done) timer.advance(1)
        return found
    }

    private fun startWorker() {
        val vm = VmId("vm-${nextVm++}")
        val gate = KillGate()
        gates[vm] = gate
        renewLease(vm, gate, 0)
        fleet.start(vm, 1, gate)
    }

    private fun renewLease(vm: VmId, gate: KillGate, renewal: Long) {
        if (gate.killed) return
        val spec = buildJsonObject {
            put("incarnation", 1)
            put("termMillis", LEASE_TERM_MILLIS)
            put("renewal", renewal)
        }
        store.put(ObjectKind.VM_LEASES, vm.value, spec)
        timer.once(LEASE_TERM_MILLIS / 3) { renewLease(vm, gate, renewal + 1) }
    }

    private fun kill() {
        val (vm, gate) = gates.entries.drop(1).random(random)
        gate.killed = true
        gates.remove(vm)
        kills++
        // Gossip notices after three seconds; the VM's replacement needs a while longer.
        timer.once(3_000) { fleet.leave(vm) }
        timer.once(10_000) { startWorker() }
    }

    private fun expectedMillis(): Long {
        val slots = scenario.servers * (scenario.slots - 1)
        return (scenario.items * (scenario.firstTokenMillis + scenario.meanGenerationMillis) / slots).toLong()
    }

    private fun elapsed(): Long = timer.nanoTime() / 1_000_000

    private inner class CountingClient : BenchClient() {
        var starts = 0
            private set
        private val running = HashMap<BackendServer, Int>()

        override suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome {
            starts++
            running.merge(server, 1, Int::plus)
            try {
                val generationMillis = -ln(1 - random.nextDouble()) * scenario.meanGenerationMillis
                timer.pause(scenario.firstTokenMillis + generationMillis.toLong())
            } finally {
                running.merge(server, -1, Int::plus)
            }
            return AttemptOutcome.Answered(BackendResponse(200, emptyList(), ANSWER.encodeToByteArray()))
        }

        override suspend fun cancel(server: BackendServer, requestId: RequestId) = Unit

        override suspend fun fetchLoadReport(server: BackendServer) =
            Ok(LoadReport(running[server] ?: 0, 0, server.slots))
    }

    private companion object {
        const val STEP_MILLIS = 1_000L
        const val LIMIT_MILLIS = 600_000L
        const val LEASE_TERM_MILLIS = 30_000L
        val ANSWER = """{"choices":[{"message":{"content":"${"quote ".repeat(100)}"}}]}"""
    }
}
