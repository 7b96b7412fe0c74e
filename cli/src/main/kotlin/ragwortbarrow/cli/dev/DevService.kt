package ragwortbarrow.cli.dev

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import ragwortbarrow.standins.faults.ServerFaults
import ragwortbarrow.standins.service.PlainServiceServer

/** `ragwortbarrow dev service`: runs a stand-in of a plain service until it is stopped. */
class DevService : CliktCommand(name = "service") {
    private val listen by option("--listen", help = "Address to listen on").listenAddress()
        .default(ListenAddress("127.0.0.1", 0))
    private val faults by option(
        "--faults",
        help = "Fault switches at the start",
    ).serverFaults().default(ServerFaults())

    override fun help(context: Context): String = "Run a stand-in of a plain service."

    override fun run() {
        val server = PlainServiceServer(listen.host, listen.port, faults, onCrash = ::halt).start()
        echo("event=listening kind=service url=${server.url}")
        Thread.currentThread().join()
    }
}
