package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.peer.PeerConnector

/** `ragwortbarrow key withdraw ID`: withdraws a key on the platform and directly on the nodes. */
class KeyWithdrawCommand(private val connector: () -> PeerConnector) : CliktCommand(name = "withdraw") {
    private val platform by PlatformOptions()
    private val id by argument("ID")
    private val nodes by option(
        "--node",
        metavar = "HOST:PORT",
        help = "Peer address of a node; may be repeated. Needed when the platform cannot name the nodes",
    ).multiple()

    override fun help(context: Context): String =
        "Withdraws a key for good. Names the nodes that have not confirmed, and then ends with an error."

    override fun run() {
        val report = platform.use { KeyWithdrawal(store, writer, connector()).withdraw(KeyId(id), nodes) }
        echo("platform: ${report.platformError ?: "withdrawn"}")
        echo("nodes confirmed: ${report.confirmed.size}")
        report.unconfirmed.forEach { echo("not confirmed: ${it.key}: ${it.value}", err = true) }
        if (report.nodesError != null) echo("the nodes are not known: ${report.nodesError}", err = true)
        if (!report.isComplete) failWith("key $id may still work on nodes that have not confirmed")
    }
}
