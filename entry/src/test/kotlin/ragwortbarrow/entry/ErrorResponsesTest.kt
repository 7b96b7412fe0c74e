package ragwortbarrow.entry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ErrorResponsesTest {
    @Test
    fun `the retry delay is given in fractional seconds`() {
        expectThat(retryAfterSeconds(250)).isEqualTo("0.25")
        expectThat(retryAfterSeconds(1_000)).isEqualTo("1")
        expectThat(retryAfterSeconds(1_500)).isEqualTo("1.5")
        expectThat(retryAfterSeconds(20_000)).isEqualTo("20")
    }
}
