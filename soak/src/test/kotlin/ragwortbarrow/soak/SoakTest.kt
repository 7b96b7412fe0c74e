package ragwortbarrow.soak

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import ragwortbarrow.standins.process.LocalProcess
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readLines

/** Runs a short soak with a fixed seed and with each seed that has failed before. */
class SoakTest {
    private val program = listOf(
        LocalProcess.JAVA,
        "-Xmx160m",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-cp",
        LocalProcess.CLASS_PATH,
        "ragwortbarrow.platform.MainKt",
    )

    @TestFactory
    fun `every guarantee holds in a soak`(): List<DynamicTest> =
        SEEDS.filterKeys { !isKnownFailure(it) }.map { (seed, cause) -> seedTest(seed, cause) }

    private fun seedTest(seed: Long, cause: String) = DynamicTest.dynamicTest("seed $seed: $cause") {
        val folder = Path.of("target", "soak")
        val report = Soak.of(seed, SECONDS, nodes = 6, program = program, folder = folder).run()
        println(report)
        expectThat(report.violations).isEmpty()
    }

    private fun isKnownFailure(seed: Long): Boolean {
        val line = "test SoakTest.seed $seed"
        val isListed = line in KNOWN_FAILURES && !System.getProperty("runKnownFailures").toBoolean()
        if (isListed) println("known red: $line")
        return isListed
    }

    private companion object {
        const val SECONDS = 20

        /** Seeds that fail because of a real fault, which `-DrunKnownFailures=true` runs. */
        val KNOWN_FAILURES: Set<String> =
            Path.of("..", "KNOWN-RED.txt").takeIf(Files::exists)?.readLines().orEmpty().toSet()

        /** Seeds, each with the reason why it is kept. */
        val SEEDS = mapOf(
            1L to "the usual mix of faults",
            202L to "a late copy that was cut off gave its status to the next answer",
        )
    }
}
