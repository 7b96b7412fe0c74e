package ragwortbarrow.node.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.store.ObjectKind
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Metrics of a node, listed in `docs/metrics.md`; a test compares the two. */
class NodeMetrics(val registry: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)) {
    private val requests = ConcurrentHashMap<Pair<String, Int>, Timer>()
    private val refusals = ConcurrentHashMap<ResultCode, Counter>()
    private val platformCalls = ConcurrentHashMap<Triple<String, ObjectKind, String>, Timer>()
    private val firstEvent = timer("first.event", "Time from a request to the first event of its stream")

    init {
        JvmMemoryMetrics().bindTo(registry)
        JvmGcMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    /** Records a finished request; [nanos] is the time from its headers to the last byte of the response. */
    fun recordRequest(route: String, status: Int, nanos: Long) {
        requests.computeIfAbsent(route to status) {
            timer("request", "Time of callers' requests", "route" to route, "status" to status.toString())
        }.record(nanos, TimeUnit.NANOSECONDS)
    }

    /** Counts a rejection or failure that was reported to a caller. */
    fun countRefusal(code: ResultCode) {
        refusals.computeIfAbsent(code) {
            Counter.builder("ragwortbarrow.refusals")
                .description("Refusals and failures that callers were told of")
                .tag("code", it.name)
                .register(registry)
        }.increment()
    }

    fun recordFirstEvent(nanos: Long): Unit = firstEvent.record(nanos, TimeUnit.NANOSECONDS)

    /** Records a call to the platform's object API. */
    fun countPlatformCall(verb: String, kind: ObjectKind, outcome: String, durationNanos: Long) {
        platformCalls.computeIfAbsent(Triple(verb, kind, outcome)) {
            timer("platform.call", "Calls to the platform", "verb" to verb, "kind" to kind.path, "outcome" to outcome)
        }.record(durationNanos, TimeUnit.NANOSECONDS)
    }

    /** Registers gauges that read their values from [sources]. */
    fun registerGauges(sources: NodeGauges) {
        gauge("members.live", "Nodes whose heartbeat moves, this one included", sources.liveMembers)
        gauge("platform.age.seconds", "Time since the platform was heard of, -1 if never") {
            sources.platformAgeMillis()?.let { it / 1_000.0 } ?: -1.0
        }
        gauge("configuration.version", "Version in force, 0 if none", sources.configurationVersion)
        gauge("limit.shards.owned", "Limit shards that this node owns", sources.ownedShards)
        gauge("requests.in.flight", "Requests of callers that are being served") { sources.drain.inFlight }
        gauge("requests.waiting", "Requests that wait for a slot on a backend server", sources.waitingRequests)
        gauge("draining", "1 from the start of a graceful shutdown") { if (sources.drain.isDraining) 1 else 0 }
    }

    fun scrape(): String = registry.scrape()

    private fun gauge(name: String, description: String, value: () -> Number) {
        Gauge.builder("ragwortbarrow.$name", value).description(description).register(registry)
    }

    private fun timer(name: String, description: String, vararg tags: Pair<String, String>): Timer =
        Timer.builder("ragwortbarrow.$name")
            .description(description)
            .apply { tags.forEach { (key, value) -> tag(key, value) } }
            .serviceLevelObjectives(*BUCKETS)
            .register(registry)

    private companion object {
        val BUCKETS: Array<Duration> =
            longArrayOf(1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000)
                .map { Duration.ofMillis(it) }.toTypedArray()
    }
}
