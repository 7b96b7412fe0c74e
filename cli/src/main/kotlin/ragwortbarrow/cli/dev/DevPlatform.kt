package ragwortbarrow.cli.dev

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import ragwortbarrow.objectapi.SystemTimerService
import ragwortbarrow.standins.platform.PlatformFaults
import ragwortbarrow.standins.platform.PlatformServer
import ragwortbarrow.standins.platform.VmRecord

/** `ragwortbarrow dev platform`: runs the stand-in of the platform until the process ends. */
class DevPlatform : CliktCommand(name = "platform") {
    private val listen by option("--listen", help = "Address to listen on").listenAddress()
        .default(ListenAddress("127.0.0.1", 0))
    private val vms by option("--vm", help = "A VM of the VM list, as ID,FAILURE_DOMAIN,PEER_ADDRESS; may be repeated")
        .convert { text -> text.split(',').takeIf { it.size == 3 } ?: fail("$text has not three parts") }
        .multiple()
    private val vmListLagMillis by option("--vm-list-lag-millis", help = "Lag of the VM list").long().default(0)
    private val delayMillis by option("--delay-millis", help = "Delay of each call").long().default(0)
    private val outage by option("--outage", help = "Answer every call with 503").flag()
    private val loseWriteReplies by option(
        "--lose-write-replies",
        help = "Share of writes, from 0 to 1, that take effect and are not answered",
    ).double().restrictTo(0.0..1.0).default(0.0)
    private val staleReads by option("--stale-reads", help = "Answer reads from the state at the start").flag()
    private val callsPerSecond by option("--calls-per-second", help = "Answer 429 beyond this rate; 0 is no limit")
        .int().default(0)

    override fun help(context: Context): String =
        "Runs a stand-in of the platform in memory. PUT /dev/faults sets its faults, GET /dev/calls counts calls."

    override fun run() {
        val faults = PlatformFaults(delayMillis, outage, loseWriteReplies, staleReads, callsPerSecond)
        val server = PlatformServer(
            timer = SystemTimerService(),
            host = listen.host,
            port = listen.port,
            vmListLagMillis = vmListLagMillis,
            faults = faults,
        ).start()
        vms.forEach { (id, domain, address) -> server.putVm(id, VmRecord(domain, address)) }
        echo("event=listening kind=platform url=${server.url}")
        Runtime.getRuntime().addShutdownHook(Thread { server.stop() })
        Thread.currentThread().join()
    }
}
