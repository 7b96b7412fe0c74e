package ragwortbarrow.cli.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isLessThan

/** Guards the budget of 7 KB/s for control of a node, of which configuration may take a part. */
class ConfigurationSlopesTest {
    @Test
    fun `a change sends far less than the whole manifest and stays within the budget`() {
        val rows = configurationSlopes()
        rows.forEach(::println)
        expectThat(rows.map { it.bytesPerSecond }).all { isLessThan(7_000.0) }
        expectThat(rows.last().bytesPerChange * 10).isLessThan(rows.last().wholeManifestBytes)
    }
}
