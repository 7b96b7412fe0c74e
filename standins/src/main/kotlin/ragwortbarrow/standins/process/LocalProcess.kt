package ragwortbarrow.standins.process

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A child process of a test, signalled by its process id; its output is appended to a log file. */
class LocalProcess(private val name: String, private val folder: Path, private val command: () -> ProcessBuilder) {
    private var process: Process? = null

    /** Id of the process that was started last. */
    val id: Long get() = checkNotNull(process) { "process $name was not started" }.pid()

    val isAlive: Boolean get() = process?.isAlive == true

    fun start() {
        check(!isAlive) { "process $name is already running" }
        val log = folder.resolve("$name.log").toFile()
        process = command()
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start()
    }

    /** Sends SIGTERM and waits for the process to exit; returns whether it did within [limitSeconds]. */
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

    fun hangUp() = signal("HUP")

    private fun signal(signal: String) {
        val running = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$signal", running.pid().toString()).start().waitFor(5, TimeUnit.SECONDS)
    }

    companion object {
        val JAVA: String = Path.of(System.getProperty("java.home"), "bin", "java").toString()

        /** The class path of this process. Surefire may start tests from a jar whose manifest only refers to it. */
        val CLASS_PATH: String =
            System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

        fun tail(file: File, lines: Int = 20): String =
            if (file.exists()) file.readLines().takeLast(lines).joinToString("\n") else "(no log)"
    }
}
