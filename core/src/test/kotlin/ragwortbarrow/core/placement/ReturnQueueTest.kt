package ragwortbarrow.core.placement

import org.junit.jupiter.api.Test
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import kotlin.random.Random

class ReturnQueueTest {
    private val timer = ManualTimerService()
    private val queue = ReturnQueue(timer, Random(3))

    private fun enter(
        service: String = "engines",
        permitWaitMillis: Double = 100.0,
        intervalMillis: Double = 200.0,
        maxWaitMillis: Double = 5_000.0,
    ) = queue.enter(service, permitWaitMillis, intervalMillis, maxWaitMillis)

    @Test
    fun `callers that are rejected together come back one permit after the other`() {
        expectThat((1..4).map { enter() }).isEqualTo(listOf(100.0, 300.0, 500.0, 700.0))
    }

    @Test
    fun `the queue empties as time passes`() {
        repeat(4) { enter() }
        timer.advance(650)
        expectThat(enter()).isEqualTo(250.0)
        timer.advance(60_000)
        expectThat(enter()).isEqualTo(100.0)
    }

    @Test
    fun `each service has its own queue`() {
        repeat(4) { enter() }
        expectThat(enter(service = "other")).isEqualTo(100.0)
    }

    @Test
    fun `callers without a place come back within the second half of the time that they wait at most`() {
        repeat(5) { enter(maxWaitMillis = 1_000.0) }
        val late = (1..100).map { enter(maxWaitMillis = 1_000.0) }
        expectThat(late).all { isIn(500.0..1_000.0) }
        expectThat(late.count { it < 750.0 }).isIn(35..65)
        expectThat(enter()).isEqualTo(1_100.0)
    }

    @Test
    fun `no caller is told more than ten seconds`() {
        val waitsMillis = (1..200).map { enter(maxWaitMillis = 60_000.0) }
        expectThat(waitsMillis.max()).isIn(9_000.0..10_000.0)
    }

    @Test
    fun `at a node that has no permits of its own callers come back late`() {
        val waitsMillis = (1..100).map { enter(permitWaitMillis = 8_000.0, intervalMillis = Double.POSITIVE_INFINITY) }
        expectThat(waitsMillis).all { isIn(2_500.0..5_000.0) }
    }
}
