package ragwortbarrow.cli.bench

import com.github.michaelbull.result.Ok
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.time.ManualTimerService
import java.lang.management.ManagementFactory

/** What a node spends on following [jobs] open jobs with [chunks] chunks in total, and on running an item. */
data class BatchSlope(
    val jobs: Int,
    val chunks: Int,
    val bytesPerChunk: Double,
    val bytesPerJob: Double,
    val idleCpuMicrosPerSecond: Double,
    val cpuMicrosPerItem: Double,
)

/** Measures memory and CPU of one node by the number of open jobs and chunks. */
fun batchSlopes(): List<BatchSlope> {
    // The first measurement would otherwise count the classes that it loads.
    NodeCost(10, 2)
    return listOf(100, 500, 1_500).map { batchSlopeOf(it, chunksPerJob = 20) }
}

private fun batchSlopeOf(jobs: Int, chunksPerJob: Int): BatchSlope {
    val one = NodeCost(jobs, 1)
    val many = NodeCost(jobs, chunksPerJob)
    val bytesPerChunk = (many.bytes - one.bytes).toDouble() / (jobs * (chunksPerJob - 1))
    val items = jobs * chunksPerJob
    return BatchSlope(
        jobs = jobs,
        chunks = jobs * chunksPerJob,
        bytesPerChunk = bytesPerChunk,
        bytesPerJob = one.bytes.toDouble() / jobs - bytesPerChunk,
        idleCpuMicrosPerSecond = many.idleCpuMicrosPerSecond,
        cpuMicrosPerItem = BatchSimulation(BatchScenario(items = items, kills = 0)).run().cpuMicrosPerItem,
    )
}

/** One node without spare slots that follows jobs whose chunks another node holds. */
private class NodeCost(jobs: Int, chunksPerJob: Int) {
    private val timer = ManualTimerService()
    private val store = InMemoryObjectStore(maxValueBytes = 10_000_000)
    private val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
    val bytes: Long
    val idleCpuMicrosPerSecond: Double

    init {
        val servers = benchServers(1, 8, domains = 1)
        repeat(jobs) { job -> putJob(store, job, chunksPerJob) }
        val before = usedHeapBytes()
        val fleet = BenchFleet(timer, scope, store, servers, IdleClient)
        fleet.start(VmId("vm-0"), 1, BenchGate.Open)
        fleet.join(VmId("vm-1"), 1)
        timer.advance(2_000)
        bytes = usedHeapBytes() - before
        timer.advance(WARMUP_MILLIS)
        val threads = ManagementFactory.getThreadMXBean()
        val startNanos = threads.currentThreadCpuTime
        timer.advance(MEASURED_MILLIS)
        idleCpuMicrosPerSecond = (threads.currentThreadCpuTime - startNanos) / (MEASURED_MILLIS * 1.0)
        scope.cancel()
    }

    private object IdleClient : BenchClient() {
        override suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome = awaitCancellation()

        override suspend fun cancel(server: BackendServer, requestId: RequestId) = Unit

        override suspend fun fetchLoadReport(server: BackendServer) = Ok(LoadReport(0, 0, server.slots))
    }

    private companion object {
        const val WARMUP_MILLIS = 300_000L
        const val MEASURED_MILLIS = 600_000L
    }
}

/** Stores a job as the platform holds it while another node runs all of its chunks. */
private fun putJob(store: InMemoryObjectStore, number: Int, chunks: Int) {
    val jobId = "batch-%036d".format(number)
    val jobLabels = mapOf("customer" to "bench", "state" to "IN_PROGRESS")
    store.put(ObjectKind.BATCH_JOBS, jobId, benchJobSpec(chunks), jobLabels)
    repeat(chunks) { index ->
        val labels = mapOf(
            "job" to jobId,
            "index" to index.toString(),
            "state" to "OPEN",
            "holder" to "vm-1",
            "incarnation" to "1",
            "completed" to "0",
            "failed" to "0",
        )
        store.put(ObjectKind.BATCH_CHUNKS, "$jobId-%06d".format(index), JsonObject(emptyMap()), labels)
    }
}

/** Heap in use after a collection. */
private fun usedHeapBytes(): Long {
    repeat(3) { System.gc() }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}

private fun benchJobSpec(chunks: Int) = buildJsonObject {
    put("customer", "bench")
    put("inputFileId", "file-bench")
    put("endpoint", BENCH_ENDPOINT)
    put("completionWindowSeconds", 86_400)
    put("model", benchTarget.model)
    putJsonArray("chunkItemCounts") { repeat(chunks) { add(200) } }
    put("createdAtMillis", 1_700_000_000_000)
    put("deadlineMillis", 1_700_086_400_000)
    put("writer", "bench/1/1")
}
