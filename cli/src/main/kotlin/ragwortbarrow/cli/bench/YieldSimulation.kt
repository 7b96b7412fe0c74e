package ragwortbarrow.cli.bench

import com.github.michaelbull.result.Ok
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.HdrHistogram.Histogram
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.routing.BackendLoads
import ragwortbarrow.core.routing.OnlineLoadListener
import ragwortbarrow.core.routing.RouteDecision
import ragwortbarrow.core.routing.RouteRequest
import ragwortbarrow.core.routing.Router
import ragwortbarrow.core.routing.ServerHealth
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.time.ManualTimerService
import kotlin.math.ln
import kotlin.random.Random

/** What the simulation of batch beside online assumes; every policy sees the same online arrivals. */
data class YieldScenario(
    val seconds: Int = 300,
    val nodes: Int = 4,
    val servers: Int = 6,
    val slots: Int = 8,
    val burstMillis: Long = 4_000,
    val idleMillis: Long = 6_000,
    /** Share of all slots that online requests use during a burst, and between bursts. */
    val burstUtilization: Double = 0.7,
    val idleUtilization: Double = 0.05,
    val firstTokenMillis: Long = 200,
    val meanGenerationMillis: Double = 800.0,
    val reportPeriodMillis: Long = 250,
    val reportLagMillis: Long = 200,
    val queueAhead: Int = 1,
    val batchItems: Int = 40_000,
    val seed: Long = 1,
)

/** How batch items reach the engines. */
enum class YieldPolicy { NO_BATCH, BATCH_LIKE_ONLINE, SPARE_SLOTS }

/** What one policy did to online requests and how much of the idle slots it used. */
data class YieldOutcome(
    val policy: YieldPolicy,
    val requests: Long,
    val p50Millis: Double,
    val p99Millis: Double,
    val p999Millis: Double,
    val idleSlotsUsed: Double,
    val batchItems: Long,
    val cancelledItems: Long,
)

/** Runs entry nodes that share engines with lagging load reports, with online bursts between idle periods. */
internal class YieldSimulation(private val scenario: YieldScenario, private val policy: YieldPolicy) {
    private val timer = ManualTimerService()
    private val servers = benchServers(scenario.servers, scenario.slots, domains = 1)
    private val snapshot = benchSnapshot(servers)
    private val engines = servers.associate {
        it.id to YieldEngine(timer, scenario.slots, scenario.reportLagMillis)
    }
    private val loads = List(scenario.nodes) { BackendLoads(timer) }
    private val routers = loads.mapIndexed { node, seen ->
        Router(
            loads = seen,
            health = ServerHealth(timer),
            failureDomain = benchDomain(0),
            random = Random(scenario.seed + node),
            queueAhead = scenario.queueAhead,
        )
    }
    private val waiting = List(scenario.nodes) { ArrayDeque<Pending>() }
    private val firstTokens = Histogram(600_000L, 3)
    private val batchRandom = Random(scenario.seed + 1_000)
    private val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
    private var usedSlotSamples = 0L
    private var idleSlotSamples = 0L
    private var finishedItems = 0L
    private var cancelledItems = 0L
    private var nextId = 0L

    fun run(): YieldOutcome {
        when (policy) {
            YieldPolicy.NO_BATCH -> Unit
            YieldPolicy.BATCH_LIKE_ONLINE -> repeat(scenario.servers * scenario.slots) { sendBatchLikeOnline(it) }
            YieldPolicy.SPARE_SLOTS -> startRuntimes()
        }
        timer.every(scenario.reportPeriodMillis) { readLoads() }
        timer.every(SAMPLE_MILLIS) { sampleSlots() }
        timer.every(QUEUE_RETRY_MILLIS) { waiting.indices.forEach(::serveQueue) }
        arrivals().forEach { (atMillis, totalMillis, node) ->
            timer.advance(atMillis - timer.elapsed())
            enqueue(Pending(node, timer.elapsed(), totalMillis, batch = false))
        }
        timer.advance(scenario.burstMillis)
        scope.cancel()
        return YieldOutcome(
            policy = policy,
            requests = firstTokens.totalCount,
            p50Millis = firstTokens.getValueAtPercentile(50.0).toDouble(),
            p99Millis = firstTokens.getValueAtPercentile(99.0).toDouble(),
            p999Millis = firstTokens.getValueAtPercentile(99.9).toDouble(),
            idleSlotsUsed = if (idleSlotSamples == 0L) 0.0 else usedSlotSamples.toDouble() / idleSlotSamples,
            batchItems = finishedItems,
            cancelledItems = cancelledItems,
        )
    }

    private fun startRuntimes() {
        val client = EngineClient()
        val fleet = BenchFleet(timer, scope, InMemoryObjectStore(), servers, client)
        val runtimes = List(scenario.nodes) { fleet.start(VmId("vm-$it"), 1, BenchGate.Open) }
        loads.forEachIndexed { node, seen ->
            seen.addListener(object : OnlineLoadListener {
                override fun onInFlightChanged(server: BackendServerId, inFlight: Int) =
                    runtimes[node].onInFlightChanged(server, inFlight, full = false)

                override fun onServerFull(server: BackendServerId, inFlight: Int) =
                    runtimes[node].onInFlightChanged(server, inFlight, full = true)
            })
        }
        fleet.submit(runtimes.first().service, scenario.batchItems) {}
    }

    private fun enqueue(pending: Pending) {
        waiting[pending.node] += pending
        serveQueue(pending.node)
    }

    /** Sends what the router lets through; the rest waits in the node. */
    private fun serveQueue(node: Int) {
        val queue = waiting[node]
        while (queue.isNotEmpty()) {
            val id = RequestId("r${nextId++}")
            val decision = routers[node].choose(snapshot, RouteRequest(id, benchTarget))
            val server = (decision as? RouteDecision.Chosen)?.server ?: return
            send(queue.removeFirst(), id, server)
        }
    }

    private fun send(pending: Pending, id: RequestId, server: BackendServer) {
        val request = EngineRequest(
            id = id,
            batch = pending.batch,
            firstTokenMillis = scenario.firstTokenMillis,
            totalMillis = pending.totalMillis,
            onFirstToken = {
                if (!pending.batch) firstTokens.recordValue(timer.elapsed() + NETWORK_MILLIS - pending.sinceMillis)
            },
            onEnd = {
                loads[pending.node].release(server.id)
                if (pending.batch) {
                    finishedItems++
                    sendBatchLikeOnline(pending.node)
                }
                serveQueue(pending.node)
            },
        )
        timer.once(NETWORK_MILLIS) { engines.getValue(server.id).arrive(request) }
    }

    private fun sendBatchLikeOnline(index: Int) =
        enqueue(Pending(index % scenario.nodes, timer.elapsed(), duration(batchRandom), batch = true))

    private fun readLoads() = servers.forEach { server ->
        val report = engines.getValue(server.id).report()
        loads.forEach {
            it.recordSample(server.id)
            it.record(server.id, report)
        }
    }

    private fun sampleSlots() {
        val phaseMillis = timer.elapsed() % (scenario.burstMillis + scenario.idleMillis)
        if (phaseMillis >= scenario.idleMillis || timer.elapsed() < WARMUP_MILLIS) return
        engines.values.forEach {
            idleSlotSamples += scenario.slots - it.runningOnline
            usedSlotSamples += it.runningBatch
        }
    }

    /** Poisson arrivals: an idle period, then a burst, again and again. */
    private fun arrivals(): List<Triple<Long, Long, Int>> {
        val random = Random(scenario.seed)
        val slots = scenario.servers * scenario.slots
        val meanMillis = scenario.firstTokenMillis + scenario.meanGenerationMillis
        val found = ArrayList<Triple<Long, Long, Int>>()
        for (millis in 0 until scenario.seconds * 1_000L) {
            val phaseMillis = millis % (scenario.burstMillis + scenario.idleMillis)
            val utilization =
                if (phaseMillis < scenario.idleMillis) scenario.idleUtilization else scenario.burstUtilization
            if (random.nextDouble() < utilization * slots / meanMillis) {
                found += Triple(millis, duration(random), random.nextInt(scenario.nodes))
            }
        }
        return found
    }

    private fun duration(random: Random): Long =
        scenario.firstTokenMillis + (-ln(1 - random.nextDouble()) * scenario.meanGenerationMillis).toLong() + 1

    private fun ManualTimerService.elapsed(): Long = nanoTime() / 1_000_000

    private class Pending(val node: Int, val sinceMillis: Long, val totalMillis: Long, val batch: Boolean)

    private inner class EngineClient : BenchClient() {
        override suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome {
            val answered = CompletableDeferred<Unit>()
            val engineRequest = EngineRequest(
                id = request.requestId,
                batch = true,
                firstTokenMillis = scenario.firstTokenMillis,
                totalMillis = duration(batchRandom),
                onEnd = {
                    finishedItems++
                    answered.complete(Unit)
                },
            )
            timer.once(NETWORK_MILLIS) { engines.getValue(server.id).arrive(engineRequest) }
            answered.await()
            return AttemptOutcome.Answered(BackendResponse(200, emptyList(), "{}".encodeToByteArray()))
        }

        override suspend fun cancel(server: BackendServer, requestId: RequestId) {
            cancelledItems++
            timer.once(NETWORK_MILLIS) { engines.getValue(server.id).cancel(requestId) }
        }

        override suspend fun fetchLoadReport(server: BackendServer) = Ok(engines.getValue(server.id).report())
    }

    private companion object {
        const val NETWORK_MILLIS = 1L
        const val SAMPLE_MILLIS = 10L
        const val QUEUE_RETRY_MILLIS = 5L
        const val WARMUP_MILLIS = 2_000L
    }
}
