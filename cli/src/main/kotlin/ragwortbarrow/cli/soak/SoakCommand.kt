package ragwortbarrow.cli.soak

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import ragwortbarrow.soak.ServerTrouble
import ragwortbarrow.soak.Soak
import java.nio.file.Path

/** `ragwortbarrow soak`: real entry nodes under random faults, with their promises checked from outside. */
class SoakCommand : CliktCommand(name = "soak") {
    private val seed by option("--seed", help = "The first seed").long().required()
    private val runs by option(
        "--runs",
        help = "Seeds to run, one after the other",
    ).int().restrictTo(min = 1).default(1)
    private val minutes by option("--minutes", help = "Go on with further seeds for this long").int().default(0)
    private val seconds by option("--seconds", help = "Time under faults of each run").int()
        .restrictTo(min = MIN_SECONDS).default(DEFAULT_SECONDS)
    private val nodes by option("--nodes", help = "Entry nodes of the fleet").int().restrictTo(1..MOST_NODES)
        .default(DEFAULT_NODES)
    private val program by option("--program", help = "Command line that starts the entry program, split at blanks")
        .default("java @deploy/entry.jvm -jar target/entry/ragwortbarrow-platform-0.1.0-SNAPSHOT.jar")
    private val troubles by option("--trouble", help = "Faults of backend servers beside the others; may be repeated")
        .enum<ServerTrouble> { it.name.lowercase() }.multiple(default = Soak.DEFAULT_TROUBLES.toList())
    private val folder by option("--folder", help = "Where the logs of all processes go").path()
        .default(Path.of("target", "soak"))

    override fun help(context: Context): String =
        "Run entry nodes as real processes under random faults and check their promises."

    override fun run() {
        val untilNanos = System.nanoTime() + minutes * NANOS_PER_MINUTE
        var failed = 0
        var next = seed
        while (next < seed + runs || System.nanoTime() < untilNanos) {
            val report = Soak.of(next, seconds, nodes, program.split(' '), folder, troubles.toSet()).run()
            echo(report.toString())
            if (report.violations.isNotEmpty()) failed++
            next++
        }
        echo("${next - seed} seeds, $failed with violations")
        if (failed > 0) throw ProgramResult(1)
    }

    private companion object {
        const val DEFAULT_SECONDS = 30
        const val MIN_SECONDS = 12
        const val DEFAULT_NODES = 6

        /** A node takes some 100 MB; a few dozen stay well under half of a developer's machine. */
        const val MOST_NODES = 60
        const val NANOS_PER_MINUTE = 60_000_000_000L
    }
}
