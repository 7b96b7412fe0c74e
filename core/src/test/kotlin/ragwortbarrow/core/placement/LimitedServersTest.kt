package ragwortbarrow.core.placement

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Load: new callers jump from 9 to 60 a second for 2.4 s, at servers that take 22.5 a second together. */
class LimitedServersTest {
    private fun jumps(seed: Int) = LimitedServersSimulation(seed = seed).apply {
        repeat(4) {
            load(requestsPerSecond = 9.0, millis = 3_600)
            load(requestsPerSecond = 60.0, millis = 2_400)
        }
        load(requestsPerSecond = 9.0, millis = 8_000)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5])
    fun `rejected callers come back about as often as the servers take requests`(seed: Int) {
        val simulation = jumps(seed)
        expectThat(simulation.mostReturns(windowMillis = 1_000)).isLessThan(40)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5])
    fun `most rejected callers are served when they come back`(seed: Int) {
        val simulation = jumps(seed)
        expectThat(simulation.returned - simulation.rejectedTwice).isGreaterThan(simulation.returned / 2)
    }
}
