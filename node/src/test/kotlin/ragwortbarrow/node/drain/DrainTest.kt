package ragwortbarrow.node.drain

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import org.junit.jupiter.api.Test
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Verifies that a graceful shutdown interrupts no request, including those sent before the load balancer reacts. */
@OptIn(ExperimentalCoroutinesApi::class)
class DrainTest {
    private val timer = ManualTimerService()
    private val drain = Drain(timer)
    private val scope = CoroutineScope(Dispatchers.Unconfined)

    @Test
    fun `requests are admitted until the delay has passed and rejected afterwards`() {
        val drained = scope.async { drain.run(delayMillis = 1_000, limitMillis = 5_000) }
        expectThat(drain.isDraining).isTrue()
        timer.advance(999)
        expectThat(drain.tryEnter()).isTrue()
        timer.advance(1)
        expectThat(drain.tryEnter()).isFalse()
        timer.advance(100)
        expectThat(drained.isCompleted).isFalse()
        drain.exit()
        timer.advance(20)
        expectThat(drained.getCompleted()).isTrue()
    }

    @Test
    fun `a request that never ends delays the shutdown only up to the limit`() {
        drain.tryEnter()
        val drained = scope.async { drain.run(delayMillis = 0, limitMillis = 5_000) }
        timer.advance(4_900)
        expectThat(drained.isCompleted).isFalse()
        timer.advance(200)
        expectThat(drained.getCompleted()).isFalse()
    }
}
