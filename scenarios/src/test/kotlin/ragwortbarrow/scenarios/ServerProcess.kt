package ragwortbarrow.scenarios

import ragwortbarrow.standins.LoopbackPorts
import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** One process of a fleet, started from the class path of the tests, with its output in a log file. */
internal class ServerProcess(
    private val name: String,
    private val mainClass: String,
    private val arguments: List<String>,
    private val folder: Path,
) {
    private var process: Process? = null

    val isAlive: Boolean get() = process?.isAlive == true

    fun start() {
        check(!isAlive) { "$name runs already" }
        val log = folder.resolve("$name.log").toFile()
        process = command(mainClass, arguments)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start()
    }

    /** Sends SIGTERM and waits for the end of the process. */
    fun stop(limitSeconds: Long = 60): Boolean {
        val running = process ?: return true
        signal("CONT")
        running.destroy()
        return running.waitFor(limitSeconds, TimeUnit.SECONDS)
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor(10, TimeUnit.SECONDS)
    }

    fun freeze() = signal("STOP")

    fun thaw() = signal("CONT")

    private fun signal(signal: String) {
        val running = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$signal", running.pid().toString()).start().waitFor(5, TimeUnit.SECONDS)
    }

    companion object {
        private val javaBinary = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        private val jvmFlags = listOf("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        // Surefire may start tests from a jar that only refers to the real class path.
        private val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

        /** A process that runs [mainClass] from the class path of the tests. */
        fun command(mainClass: String, arguments: List<String>): ProcessBuilder =
            ProcessBuilder(listOf(javaBinary) + jvmFlags + listOf("-cp", classPath, mainClass) + arguments)

        fun freePort(): Int = LoopbackPorts.free()

        fun tail(file: File, lines: Int = 20): String =
            if (file.exists()) file.readLines().takeLast(lines).joinToString("\n") else "(no log)"
    }
}
