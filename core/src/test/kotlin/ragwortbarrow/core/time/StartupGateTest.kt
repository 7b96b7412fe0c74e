package ragwortbarrow.core.time

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against nodes that accept requests before they can admit them, and against nodes that never accept any. */
class StartupGateTest {
    private val timer = ManualTimerService()
    private var isConditionMet = false
    private val gate = StartupGate(timer, limitMillis = 1_000) { isConditionMet }

    @Test
    fun `the gate opens with its condition and stays open`() {
        expectThat(gate.isOpen).isFalse()
        isConditionMet = true
        expectThat(gate.isOpen).isTrue()
        isConditionMet = false
        expectThat(gate.isOpen).isTrue()
    }

    @Test
    fun `the gate opens at its limit when the condition never holds`() {
        expectThat(gate.isOpen).isFalse()
        timer.advance(999)
        expectThat(gate.isOpen).isFalse()
        timer.advance(1)
        expectThat(gate.isOpen).isTrue()
    }
}
