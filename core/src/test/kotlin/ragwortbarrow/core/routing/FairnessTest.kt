package ragwortbarrow.core.routing

import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.manifest.Customer
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.math.ln
import kotlin.random.Random

/** Guards the throughput of customers while another customer sends several times its rate. */
class FairnessTest {
    // Four servers with 4 slots and 100 ms per request serve 160 requests/s; the customers together send 132.
    private val rates = mapOf("big1" to 30.0, "big2" to 30.0) + (1..6).associate { "small$it" to 12.0 }

    @Test
    fun `every other customer keeps 95 percent of its throughput while one sends five times its rate`() {
        val without = served(rates)
        val beside = served(rates + ("big1" to 150.0))
        val worst = (rates.keys - "big1").minOf { beside.getValue(it).toDouble() / without.getValue(it) }
        expectThat(worst).isGreaterThanOrEqualTo(0.95)
    }

    @Test
    fun `waiting customers are served in proportion to their weights`() {
        val queue = FairQueue<String>(quantumTokens = 100)
        repeat(300) {
            queue.offer("heavy", "heavy", tokens = 60, weight = 2, maxLength = 1_000)
            queue.offer("light", "light", tokens = 60, weight = 1, maxLength = 1_000)
        }
        val first = List(300) { queue.pollIf { it }!!.first }
        expectThat(first.count { it == "heavy" } in 195..205).isEqualTo(true)
    }

    @Test
    fun `an item that is not accepted keeps its turn`() {
        val queue = FairQueue<String>()
        listOf("a", "b").forEach { queue.offer(it, it, 16, 1, 10) }
        queue.pollIf { null as String? }
        expectThat(List(2) { queue.pollIf { it }!!.first }).isEqualTo(listOf("a", "b"))
        expectThat(queue.size).isEqualTo(0)
    }

    /** Number of responses that each customer gets to its requests of 20 s. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun served(sent: Map<String, Double>): Map<String, Int> {
        val customers = rates.map { (name, rate) -> Customer(CustomerId(name), rate, 10, weight = rate.toInt()) }
        val fixture = OnlineFixture((1..4).map { server("s$it") }, customers)
        val arrivals = sent.flatMap { (name, rate) -> arrivals(name, rate) }.sortedBy { it.second }
        var nowMillis = 0L
        val replies = arrivals.mapIndexed { index, (customer, atMillis) ->
            fixture.timer.advance(atMillis - nowMillis)
            nowMillis = atMillis
            customer to fixture.execute(call("r$index", customer))
        }
        fixture.timer.advance(10_000)
        return replies.filter { it.second.getCompleted().get() != null }.groupingBy { it.first }.eachCount()
    }

    /** Arrival times of a Poisson process; the same for a customer and rate in every run. */
    private fun arrivals(customer: String, ratePerSecond: Double): List<Pair<String, Long>> {
        val random = Random(customer.hashCode())
        return generateSequence(0.0) { it - ln(1 - random.nextDouble()) / ratePerSecond * 1_000 }
            .drop(1).takeWhile { it < 20_000 }.map { customer to it.toLong() }.toList()
    }
}
