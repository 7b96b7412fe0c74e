package ragwortbarrow.entry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RefusalsTest {
    @Test
    fun `the time to come back is told in seconds with a fraction`() {
        expectThat(seconds(250)).isEqualTo("0.25")
        expectThat(seconds(1_000)).isEqualTo("1")
        expectThat(seconds(1_500)).isEqualTo("1.5")
        expectThat(seconds(20_000)).isEqualTo("20")
    }
}
