package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import ragwortbarrow.core.manifest.Manifest
import java.nio.file.Path

/** `ragwortbarrow manifest check FILE`: prints every fault of a manifest. */
class ManifestCheckCommand : CliktCommand(name = "check") {
    private val file by argument("FILE").path(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Checks a manifest and prints every fault with its line."

    override fun run() {
        val manifest = readManifest(file)
        val counts = "${manifest.customers.size} customers, ${manifest.backendServers.size} backend servers"
        echo("${manifest.name}: $counts, no faults")
    }
}

/** Reads the manifest in [file], or prints its faults and ends the command. */
internal fun CliktCommand.readManifest(file: Path): Manifest = ManifestFile().read(file).getOrElse { faults ->
    val lines = faults.joinToString("\n") { "$file: $it" }
    failWith("$lines\n${faults.size} faults; nothing was applied", ExitCodes.BAD_USAGE)
}
