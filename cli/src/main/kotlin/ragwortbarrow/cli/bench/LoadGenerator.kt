package ragwortbarrow.cli.bench

import org.HdrHistogram.ConcurrentHistogram
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport

/** What one path did under load. */
class PathResult {
    /** Microseconds from the scheduled start to the complete answer. */
    val latencies = ConcurrentHistogram(TimeUnit.MINUTES.toMicros(5), 3)
    val sent = AtomicLong()
    val errors = AtomicLong()
    val incomplete = AtomicLong()
    val notSent = AtomicLong()

    fun millisAt(percentile: Double): Double = latencies.getValueAtPercentile(percentile) / 1_000.0
}

/**
 * An open-loop load generator: requests start at fixed times whether or not earlier ones have ended, and the latency
 * counts from the scheduled start. At most [maxInFlight] requests are in flight; those beyond are counted as not sent.
 */
class LoadGenerator(
    private val ratePerSecond: Int,
    private val maxInFlight: Int = 5_000,
    private val timeoutSeconds: Long = 30,
    private val http: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build(),
) {
    private val inFlight = AtomicInteger()

    /** Sends [count] requests and waits until all have ended or timed out. */
    fun run(count: Int, result: PathResult, request: (Int) -> HttpRequest, isComplete: (Int, String) -> Boolean) {
        val startNanos = System.nanoTime()
        repeat(count) { index ->
            val scheduledNanos = startNanos + index * TimeUnit.SECONDS.toNanos(1) / ratePerSecond
            waitUntil(scheduledNanos)
            if (inFlight.get() >= maxInFlight) {
                result.notSent.incrementAndGet()
            } else {
                send(index, request(index), scheduledNanos, result, isComplete)
            }
        }
        val limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds + 5)
        while (inFlight.get() > 0 && System.nanoTime() < limitNanos) LockSupport.parkNanos(PARK_NANOS)
    }

    private fun send(
        index: Int,
        request: HttpRequest,
        scheduledNanos: Long,
        result: PathResult,
        isComplete: (Int, String) -> Boolean,
    ) {
        inFlight.incrementAndGet()
        result.sent.incrementAndGet()
        http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete { response, failure ->
            val micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - scheduledNanos)
            when {
                failure != null || response.statusCode() != 200 -> result.errors.incrementAndGet()
                !isComplete(index, response.body()) -> result.incomplete.incrementAndGet()
                else -> result.latencies.recordValue(micros.coerceAtMost(result.latencies.highestTrackableValue))
            }
            inFlight.decrementAndGet()
        }
    }

    private fun waitUntil(nanos: Long) {
        while (true) {
            val restNanos = nanos - System.nanoTime()
            if (restNanos <= 0) return
            // Parking overshoots by some tens of microseconds, so the last stretch is spun.
            if (restNanos > SPIN_NANOS) LockSupport.parkNanos(restNanos - SPIN_NANOS) else Thread.onSpinWait()
        }
    }

    private companion object {
        const val PARK_NANOS = 1_000_000L
        const val SPIN_NANOS = 100_000L
    }
}
