package ragwortbarrow.node.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import ragwortbarrow.core.error.ResultCode
import java.util.concurrent.TimeUnit

/** The metrics of a node; `docs/metrics.md` lists them. */
class NodeMetrics(val registry: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)) {
    /** Counts one finished request; its time runs from the first byte read to the last byte written. */
    fun requestFinished(route: String, status: Int, nanos: Long) {
        Timer.builder("ragwortbarrow.request")
            .description("Time of callers' requests by route and status")
            .tag("route", route)
            .tag("status", status.toString())
            .publishPercentileHistogram(false)
            .serviceLevelObjectives(*BUCKETS)
            .register(registry)
            .record(nanos, TimeUnit.NANOSECONDS)
    }

    /** Counts one refusal or failure that a caller was told of. */
    fun refused(code: ResultCode) = counter("refusals", "Refusals and failures by result code", "code" to code.name)

    fun firstEvent(nanos: Long) {
        Timer.builder("ragwortbarrow.first.event")
            .description("Time from a request to the first event of its stream")
            .serviceLevelObjectives(*BUCKETS)
            .register(registry)
            .record(nanos, TimeUnit.NANOSECONDS)
    }

    fun counter(name: String, description: String, vararg tags: Pair<String, String>) {
        Counter.builder("ragwortbarrow.$name")
            .description(description)
            .apply { tags.forEach { (key, value) -> tag(key, value) } }
            .register(registry)
            .increment()
    }

    fun gauge(name: String, description: String, vararg tags: Pair<String, String>, value: () -> Number) {
        Gauge.builder("ragwortbarrow.$name", value)
            .description(description)
            .apply { tags.forEach { (key, tag) -> tag(key, tag) } }
            .register(registry)
    }

    fun scrape(): String = registry.scrape()

    private companion object {
        val BUCKETS: Array<java.time.Duration> =
            longArrayOf(1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000)
                .map { java.time.Duration.ofMillis(it) }.toTypedArray()
    }
}
