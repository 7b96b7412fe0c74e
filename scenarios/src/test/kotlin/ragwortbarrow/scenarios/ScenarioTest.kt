package ragwortbarrow.scenarios

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText

/** Runs every scenario in the folder `scenarios`; `-Dscenario=NAME` runs only that one. */
class ScenarioTest {
    @TestFactory
    fun `every scenario holds`(): List<DynamicTest> {
        val only = System.getProperty("scenario")
        val knownFailures = knownFailures()
        return Files.list(Path.of("src", "test", "resources", "scenarios")).use { files ->
            files.filter { it.extension == "yaml" && (only == null || it.nameWithoutExtension == only) }
                .filter { only != null || it.nameWithoutExtension !in knownFailures }
                .sorted()
                .map { file -> DynamicTest.dynamicTest(file.nameWithoutExtension) { runScenario(file) } }
                .toList()
        }
    }
}

/** Scenarios that KNOWN-RED.txt lists as failing because of a real fault; they run only if requested by name. */
private fun knownFailures(): Set<String> = Path.of("..", "KNOWN-RED.txt").takeIf(Files::exists)?.readText().orEmpty()
    .lines().filter { it.startsWith("scenario ") }.map { it.split(' ')[1] }.toSet()

/** Runs one scenario in its own folder, which keeps the logs of its processes. */
internal fun runScenario(file: Path) {
    val folder = Path.of("target", "scenarios", file.nameWithoutExtension)
    Files.createDirectories(folder)
    Files.list(folder).use { old -> old.forEach(Files::delete) }
    ScenarioRunner(parseScenario(file.readText()), folder).use { it.run() }
}
