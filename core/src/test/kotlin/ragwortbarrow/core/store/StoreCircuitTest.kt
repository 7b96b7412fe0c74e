package ragwortbarrow.core.store

import org.junit.jupiter.api.Test
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isTrue

class StoreCircuitTest {
    private val timer = ManualTimerService()
    private val circuit = StoreCircuit(timer)

    private fun fail(times: Int) = repeat(times) { circuit.recordFailure("503") }

    private fun open() = fail(StoreCircuit.FAILURE_THRESHOLD)

    @Test
    fun `calls go on while single ones fail`() {
        repeat(10) {
            fail(StoreCircuit.FAILURE_THRESHOLD - 1)
            expectThat(circuit.tryCall()).isTrue()
            circuit.recordServed()
        }
    }

    @Test
    fun `one call at a time is made in an outage, and all once one is served`() {
        open()
        expectThat(circuit.tryCall()).isFalse()
        timer.advance(StoreCircuit.MIN_PAUSE_MILLIS)
        expectThat(circuit.tryCall()).isTrue()
        expectThat(circuit.tryCall()).isFalse()
        circuit.recordServed()
        repeat(5) { expectThat(circuit.tryCall()).isTrue() }
    }

    @Test
    fun `a probe whose caller leaves makes way for another one`() {
        open()
        timer.advance(StoreCircuit.MIN_PAUSE_MILLIS)
        expectThat(circuit.tryCall()).isTrue()
        circuit.recordCancelled()
        expectThat(circuit.tryCall()).isTrue()
    }

    /** Many callers retry all the time; the return of the store is noticed within the longest pause. */
    @Test
    fun `an outage of ten seconds takes few calls`() {
        open()
        var calls = 0
        repeat(1_000) {
            timer.advance(10)
            if (circuit.tryCall()) {
                calls++
                circuit.recordFailure("503")
            }
        }
        expectThat(calls).isIn(10..24)
        timer.advance(StoreCircuit.MAX_PAUSE_MILLIS)
        expectThat(circuit.tryCall()).isTrue()
    }

    @Test
    fun `nodes that notice an outage together do not probe together`() {
        val circuits = List(20) { StoreCircuit(timer) }
        circuits.forEach { circuit -> repeat(6) { circuit.recordFailure("connect") } }
        timer.advance(StoreCircuit.MAX_PAUSE_MILLIS * 3 / 4)
        expectThat(circuits.count { it.tryCall() }).isIn(2..18)
        timer.advance(StoreCircuit.MAX_PAUSE_MILLIS / 4)
        circuits.forEach { it.recordCancelled() }
        expectThat(circuits.count { it.tryCall() }).isEqualTo(20)
    }
}
