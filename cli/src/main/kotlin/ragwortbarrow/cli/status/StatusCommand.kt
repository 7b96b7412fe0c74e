package ragwortbarrow.cli.status

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.michaelbull.result.getOrElse
import ragwortbarrow.cli.PlatformOptions
import ragwortbarrow.cli.failWith

/** `ragwortbarrow status`: nodes, versions, limit shards and backend servers. */
class StatusCommand : CliktCommand(name = "status") {
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Shows nodes, versions, limit shards and backend servers, as the platform and the nodes report them."

    override fun run() {
        val report = platform.use {
            NodeProbe().use { probe -> fleetReport(probe) }
        }.getOrElse { failWith("the platform failed: ${it.message}") }
        report.lines().forEach { echo(it) }
    }
}
