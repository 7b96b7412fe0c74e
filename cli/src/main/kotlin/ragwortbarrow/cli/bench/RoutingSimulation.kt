package ragwortbarrow.cli.bench

import org.HdrHistogram.Histogram
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.standins.engine.LaggingLoad
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** What the routing simulation assumes; the same arrivals are used for every policy. */
data class RoutingScenario(
    val servers: Int = 12,
    val slots: Int = 8,
    val nodes: Int = 8,
    val utilization: Double = 0.85,
    val seconds: Int = 120,
    val warmupSeconds: Int = 10,
    val reportPeriodMillis: Long = 250,
    val reportLagMillis: Long = 200,
    val prefixes: Int = 200,
    val cachedPrefixes: Int = 32,
    val firstTokenMillis: Double = 200.0,
    val cachedFirstTokenMillis: Double = 50.0,
    val meanGenerationMillis: Double = 600.0,
    val seed: Long = 1,
)

/** How long requests waited for a slot, and how many found their prefix in the cache. */
data class RoutingOutcome(
    val policy: String,
    val requests: Long,
    val waitP50Millis: Double,
    val waitP99Millis: Double,
    val prefixHitRate: Double,
    val latencyP99Millis: Double,
)

/** Simulates engines with continuous batching and nodes that see lagging load reports, in virtual time. */
class RoutingSimulation(private val scenario: RoutingScenario = RoutingScenario()) {
    /** Runs all arrivals under the policy that [create] makes. */
    fun run(create: (RoutingScenario, ManualTimerService) -> RoutingPolicy): RoutingOutcome {
        val timer = ManualTimerService()
        val policy = create(scenario, timer)
        val waits = Histogram(MAX_MICROS, 3)
        val latencies = Histogram(MAX_MICROS, 3)
        var hits = 0L
        val servers = List(scenario.servers) { index ->
            SimulatedServer(index, scenario, timer) { request, waitedMillis, hit ->
                if (request.atMillis >= scenario.warmupSeconds * 1_000.0) {
                    waits.recordValue((waitedMillis * MICROS).toLong())
                    latencies.recordValue(((timer.wallMillis() - request.arrivedWallMillis) * MICROS).toLong())
                    if (hit) hits++
                }
                policy.finished(request, index)
            }
        }
        timer.every(scenario.reportPeriodMillis) {
            servers.forEach { policy.report(it.index, it.load.report()) }
        }
        arrivals().forEach { request ->
            timer.advance(request.atMillis.toLong() - timer.elapsedMillis())
            request.arrivedWallMillis = timer.wallMillis()
            servers[policy.choose(request)].arrive(request)
        }
        timer.advance(DRAIN_MILLIS)
        return RoutingOutcome(
            policy = policy.name,
            requests = waits.totalCount,
            waitP50Millis = waits.getValueAtPercentile(50.0) / MICROS,
            waitP99Millis = waits.getValueAtPercentile(99.0) / MICROS,
            prefixHitRate = hits.toDouble() / waits.totalCount,
            latencyP99Millis = latencies.getValueAtPercentile(99.0) / MICROS,
        )
    }

    private fun ManualTimerService.elapsedMillis(): Long = nanoTime() / NANOS_PER_MILLI

    /** Poisson arrivals with prefixes by Zipf's law; the rate is that of [RoutingScenario.utilization] uncached. */
    private fun arrivals(): List<SimulatedRequest> {
        val random = Random(scenario.seed)
        val serviceMillis = scenario.firstTokenMillis + scenario.meanGenerationMillis
        val ratePerMilli = scenario.servers * scenario.slots * scenario.utilization / serviceMillis
        val weights = DoubleArray(scenario.prefixes) { 1.0 / (it + 1).toDouble().pow(ZIPF_EXPONENT) }
        val total = weights.sum()
        return generateSequence(0.0) { it + random.exponential() / ratePerMilli }
            .drop(1)
            .takeWhile { it < scenario.seconds * 1_000.0 }
            .mapIndexed { index, atMillis ->
                var rest = random.nextDouble() * total
                val prefix = weights.indices.firstOrNull { prefix ->
                    rest -= weights[prefix]
                    rest <= 0
                } ?: 0
                val node = random.nextInt(scenario.nodes)
                SimulatedRequest(index, atMillis, node, prefix, random.exponential() * scenario.meanGenerationMillis)
            }
            .toList()
    }

    private fun Random.exponential(): Double = -ln(1 - nextDouble())

    private companion object {
        const val ZIPF_EXPONENT = 0.9
        const val MICROS = 1_000.0
        const val MAX_MICROS = 600_000_000L
        const val DRAIN_MILLIS = 120_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

/** One request of the simulation. */
class SimulatedRequest(
    val index: Int,
    val atMillis: Double,
    val node: Int,
    val prefix: Int,
    val generationMillis: Double,
) {
    var arrivedWallMillis: Long = 0
}

/** An engine: slots, a queue in the order of arrival, and a cache of prefixes. */
private class SimulatedServer(
    val index: Int,
    private val scenario: RoutingScenario,
    private val timer: ManualTimerService,
    private val onFinish: (SimulatedRequest, waitedMillis: Double, hit: Boolean) -> Unit,
) {
    val load = LaggingLoad(scenario.slots, scenario.reportLagMillis, timer::nanoTime)
    private val queue = ArrayDeque<SimulatedRequest>()
    private val cache = object : LinkedHashMap<Int, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Int, Unit>): Boolean = size > scenario.cachedPrefixes
    }
    private var running = 0

    fun arrive(request: SimulatedRequest) {
        queue.addLast(request)
        startNext()
    }

    private fun startNext() {
        while (running < scenario.slots && queue.isNotEmpty()) {
            val request = queue.removeFirst()
            running++
            val waitedMillis = (timer.wallMillis() - request.arrivedWallMillis).toDouble()
            val hit = cache.put(request.prefix, Unit) != null
            val firstTokenMillis = if (hit) scenario.cachedFirstTokenMillis else scenario.firstTokenMillis
            timer.once((firstTokenMillis + request.generationMillis).toLong()) {
                running--
                onFinish(request, waitedMillis, hit)
                startNext()
            }
        }
        load.recordChange(running, queue.size)
    }
}
