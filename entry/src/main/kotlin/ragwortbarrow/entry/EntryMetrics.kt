package ragwortbarrow.entry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.http.CallerRefusal
import ragwortbarrow.http.ConnectionCloseReason
import ragwortbarrow.http.StrayBytesArrival
import java.time.Duration
import java.util.TreeMap
import java.util.concurrent.TimeUnit

/** Counters, gauges and latency histograms of an entry node. */
class EntryMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val requests = HashMap<Pair<String, Int>, Timer>()
    private val firstEvents = HashMap<String, Timer>()
    private val refusals = HashMap<ResultCode, Counter>()
    private val unanswered = HashMap<ConnectionCloseReason, Counter>()
    private val refusedCallers = HashMap<CallerRefusal, Counter>()
    private val strayBytes = HashMap<StrayBytesArrival, Counter>()
    private val platformCalls = HashMap<Pair<String, String>, Counter>()
    private val callsSinceSummary = TreeMap<String, Int>()
    private val counters = HashMap<String, Counter>()

    fun recordRequest(route: String, status: Int, nanos: Long) = requests.getOrPut(route to status) {
        Timer.builder("ragwortbarrow.entry.request").description("Time of callers' requests")
            .tag("route", route).tag("status", status.toString())
            .serviceLevelObjectives(*BUCKETS).register(registry)
    }.record(nanos, TimeUnit.NANOSECONDS)

    fun recordFirstEvent(route: String, nanos: Long) = firstEvents.getOrPut(route) {
        Timer.builder("ragwortbarrow.entry.first.event").description("Time to the first event of a stream")
            .tag("route", route).serviceLevelObjectives(*BUCKETS).register(registry)
    }.record(nanos, TimeUnit.NANOSECONDS)

    fun countRefusal(code: ResultCode) = refusals.getOrPut(code) {
        Counter.builder("ragwortbarrow.entry.refusals").description("Refusals that callers were told of")
            .tag("code", code.name).register(registry)
    }.increment()

    /** Counts a request whose connection ended before its response was complete. */
    fun countUnanswered(reason: ConnectionCloseReason) = unanswered.getOrPut(reason) {
        Counter.builder("ragwortbarrow.entry.unanswered").description("Requests without a complete response")
            .tag("closed_by", reason.name).register(registry)
    }.increment()

    /** Counts a caller that was evicted for others. */
    fun countRefusedCaller(reason: CallerRefusal) = refusedCallers.getOrPut(reason) {
        Counter.builder("ragwortbarrow.entry.callers.refused").description("Callers that gave way to others")
            .tag("reason", reason.name).register(registry)
    }.increment()

    /** Counts bytes of a backend server that belong to no request. */
    fun countStrayBytes(arrival: StrayBytesArrival) = strayBytes.getOrPut(arrival) {
        Counter.builder("ragwortbarrow.entry.stray.bytes").description("Arrivals of bytes that belong to no request")
            .tag("arrival", arrival.name).register(registry)
    }.increment()

    /** Increments the counter [name], such as `connections_opened` or `batch_items_stopped`. */
    fun increment(name: String) = counters.getOrPut(name) {
        Counter.builder("ragwortbarrow.entry.$name").register(registry)
    }.increment()

    /** Counts a [call] to the platform's store, such as `watch.servers`, by its [outcome]. */
    fun countPlatformCall(call: String, outcome: String) {
        callsSinceSummary.merge("$call:$outcome", 1, Int::plus)
        platformCalls.getOrPut(call to outcome) {
            Counter.builder("ragwortbarrow.entry.platform.calls").description("Calls to the platform's store")
                .tag("call", call).tag("outcome", outcome).register(registry)
        }.increment()
    }

    /** Returns the calls to the platform's store since the last summary and resets the counts. */
    fun drainCallCounts(): Map<String, Int> = callsSinceSummary.toMap().also { callsSinceSummary.clear() }

    fun registerGauge(name: String, description: String, value: () -> Number) {
        Gauge.builder("ragwortbarrow.entry.$name", value).description(description).register(registry)
    }

    fun scrape(): String = registry.scrape()

    private companion object {
        val BUCKETS: Array<Duration> =
            longArrayOf(5, 10, 25, 50, 100, 200, 300, 400, 600, 1_000, 2_000, 5_000)
                .map { Duration.ofMillis(it) }.toTypedArray()
    }
}
