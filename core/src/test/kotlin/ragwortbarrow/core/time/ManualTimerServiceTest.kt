package ragwortbarrow.core.time

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

/** Checks the order of actions in virtual time, on which the lease tests depend. */
class ManualTimerServiceTest {
    private val timer = ManualTimerService()
    private val ran = mutableListOf<String>()

    @Test
    fun `actions run in the order of their due times`() {
        timer.once(20) { ran += "late" }
        timer.once(10) { ran += "early" }
        timer.every(8) { ran += "periodic" }
        timer.advance(20)
        expectThat(ran).containsExactly("periodic", "early", "periodic", "late")
    }

    @Test
    fun `a cancelled action does not run`() {
        timer.once(10) { ran += "never" }.cancel()
        timer.advance(20)
        expectThat(ran).isEmpty()
    }
}
