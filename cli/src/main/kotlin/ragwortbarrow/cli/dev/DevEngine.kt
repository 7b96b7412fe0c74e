package ragwortbarrow.cli.dev

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import ragwortbarrow.standins.engine.EngineServer
import ragwortbarrow.standins.engine.EngineSettings
import ragwortbarrow.standins.faults.ServerFaults

/** `ragwortbarrow dev engine`: runs a stand-in of a model engine until it is stopped. */
class DevEngine : CliktCommand(name = "engine") {
    private val defaults = EngineSettings()
    private val listen by option("--listen", help = "Address to listen on").listenAddress()
        .default(ListenAddress("127.0.0.1", 0))
    private val models by option("--models", help = "Models that the engine serves").split(",").default(defaults.models)
    private val slots by option("--slots", help = "Requests that run at a time").int().restrictTo(min = 1)
        .default(defaults.slots)
    private val firstTokenMillis by option("--first-token-millis").double().default(defaults.firstTokenMillis)
    private val betweenTokensMillis by option("--between-tokens-millis").double().default(defaults.betweenTokensMillis)
    private val growthPerRunning by option("--growth-per-running", help = "Slowdown by each other running request")
        .double().default(defaults.growthPerRunning)
    private val tokens by option("--tokens", help = "Tokens of an answer without max_tokens").int()
        .default(defaults.defaultTokens)
    private val loadLagMillis by option("--load-lag-millis", help = "Age of load reports").long()
        .default(defaults.loadLagMillis)
    private val checkFencing by option("--check-fencing", help = "Refuse orders with an old fencing number").flag()
    private val faults by option(
        "--faults",
        help = "Fault switches at the start",
    ).serverFaults().default(ServerFaults())

    override fun help(context: Context): String = "Run a stand-in of a model engine."

    override fun run() {
        val settings = EngineSettings(
            host = listen.host,
            port = listen.port,
            models = models,
            slots = slots,
            firstTokenMillis = firstTokenMillis,
            betweenTokensMillis = betweenTokensMillis,
            growthPerRunning = growthPerRunning,
            defaultTokens = tokens,
            loadLagMillis = loadLagMillis,
            checksFencing = checkFencing,
        )
        val server = EngineServer(settings, faults, onCrash = ::halt).start()
        echo("event=listening kind=engine url=${server.url}")
        Thread.currentThread().join()
    }
}

/** A crashed process runs no shutdown code. */
internal fun halt(): Unit = Runtime.getRuntime().halt(CRASH_EXIT_CODE)

private const val CRASH_EXIT_CODE = 137
