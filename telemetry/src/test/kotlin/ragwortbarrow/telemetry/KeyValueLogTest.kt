package ragwortbarrow.telemetry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** An event must stay on one parsable line, whatever characters its values contain. */
class KeyValueLogTest {
    @Test
    fun `values with blanks, quotes and line ends are quoted and null fields left out`() {
        val line =
            keyValueLine("route", listOf("a" to 1, "b" to null, "c" to "x y", "d" to "say \"no\"\nnow", "e" to ""))
        expectThat(line).isEqualTo("""event=route a=1 c="x y" d="say \"no\"\nnow" e=""""")
    }
}
