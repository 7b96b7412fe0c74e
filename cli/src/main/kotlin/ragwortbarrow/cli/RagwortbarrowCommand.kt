package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.output.MordantHelpFormatter
import com.github.ajalt.clikt.parameters.options.versionOption
import ragwortbarrow.cli.bench.BatchBench
import ragwortbarrow.cli.bench.LimitsBench
import ragwortbarrow.cli.bench.OnlineBench
import ragwortbarrow.cli.bench.RoutingBench
import ragwortbarrow.cli.bench.SlopesBench
import ragwortbarrow.cli.bench.YieldBench
import ragwortbarrow.cli.call.CallCommand
import ragwortbarrow.cli.dev.DevEngine
import ragwortbarrow.cli.dev.DevPlatform
import ragwortbarrow.cli.dev.DevService
import ragwortbarrow.cli.dev.DevTraffic
import ragwortbarrow.cli.job.JobCommand
import ragwortbarrow.cli.soak.SoakCommand
import ragwortbarrow.cli.status.StatusCommand
import ragwortbarrow.peer.GrpcPeerConnector

/** The command line with all its commands. */
fun ragwortbarrowCommand(): CliktCommand = RagwortbarrowCommand().subcommands(
    StatusCommand(),
    CommandGroup("manifest", "Checks and applies manifests.").subcommands(
        ManifestCheckCommand(),
        ManifestApplyCommand(),
    ),
    CommandGroup("config", "Shows configurations.").subcommands(ConfigStatusCommand()),
    CommandGroup("key", "Grants and withdraws the keys of customers.").subcommands(
        KeyGrantCommand(),
        KeyWithdrawCommand { GrpcPeerConnector(deadlineMillis = 2_000) },
    ),
    CommandGroup("limits", "Operates the owners of rates and bursts.").subcommands(LimitsConfirmLostCommand()),
    JobCommand(),
    CallCommand(),
    SoakCommand(),
    CommandGroup("dev", "Runs stand-ins of outside systems for tests and development.").subcommands(
        DevPlatform(),
        DevEngine(),
        DevService(),
        DevTraffic(),
    ),
    CommandGroup("bench", "Measures the system and its policies.").subcommands(
        OnlineBench(),
        RoutingBench(),
        LimitsBench(),
        BatchBench(),
        YieldBench(),
        SlopesBench(),
    ),
)

private class RagwortbarrowCommand : CliktCommand(name = "ragwortbarrow") {
    init {
        versionOption(RagwortbarrowCommand::class.java.`package`?.implementationVersion ?: "development")
        context { helpFormatter = { MordantHelpFormatter(it, showDefaultValues = true, showRequiredTag = true) } }
    }

    override fun help(context: Context): String =
        "Operates ragwortbarrow, a serving system for online and batch model inference."

    override fun helpEpilog(context: Context): String =
        "Options with an environment variable can be left out when it is set. Exit codes: 0 done, 1 refused or not " +
            "confirmed, 2 faults in the arguments or the manifest."

    override fun run() = Unit
}

/** A command that only groups others. */
private class CommandGroup(name: String, private val text: String) : CliktCommand(name = name) {
    override fun help(context: Context): String = text

    override fun run() = Unit
}
