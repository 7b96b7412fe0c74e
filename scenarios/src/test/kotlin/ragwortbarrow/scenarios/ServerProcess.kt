package ragwortbarrow.scenarios

import ragwortbarrow.standins.process.LocalProcess
import java.nio.file.Path

private val jvmFlags = listOf("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

/** Builds the command that runs [mainClass] with the class path of the tests. */
internal fun serverCommand(mainClass: String, arguments: List<String>): ProcessBuilder =
    ProcessBuilder(listOf(LocalProcess.JAVA) + jvmFlags + listOf("-cp", LocalProcess.CLASS_PATH, mainClass) + arguments)

/** Creates a process of a fleet, which runs [mainClass] with the class path of the tests. */
internal fun serverProcess(name: String, mainClass: String, arguments: List<String>, folder: Path) =
    LocalProcess(name, folder) { serverCommand(mainClass, arguments) }
