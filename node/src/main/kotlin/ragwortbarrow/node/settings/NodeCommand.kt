package ragwortbarrow.node.settings

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.MultiUsageError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.output.MordantHelpFormatter
import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.RawOption
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.peer.PeerTls
import java.net.URI
import java.net.URISyntaxException

/** Parses the settings of a node from flags and environment variables and passes them to [start]. */
class NodeCommand(private val start: (Settings) -> Unit) : CliktCommand(name = "ragwortbarrow-node") {
    private val vmId by setting("vm-id", "Id of this VM instance, never used by another one.").required()
    private val failureDomain by setting("failure-domain", "Failure domain of this VM.").required()
    private val listen by setting("listen", "IP number and port for callers.").address().default(defaultAddress(8080))
    private val peerListen by setting("peer-listen", "IP number and port for other nodes.").address()
        .default(defaultAddress(8081))
    private val advertise by setting("advertise", "Address that others use for --listen. Default: --listen.").address()
    private val peerAdvertise by setting("peer-advertise", "Address that nodes use for --peer-listen. Default: same.")
        .address()
    private val platformUrl by setting("platform-url", "URL of the platform's object API.").convert { text ->
        if (text.isHttpUrl()) text.trimEnd('/') else fail("'$text' is not an http or https URL")
    }.required()
    private val dataFolder by setting("data-folder", "Folder for cached bulk data. Default: none.")
        .path(canBeFile = false)
    private val drainDelayMillis by setting("drain-delay-millis", "From SIGTERM until new requests are refused.")
        .long().default(5_000)
    private val drainLimitMillis by setting("drain-limit-millis", "Longest wait for requests in flight.")
        .long().default(30_000)
    private val bodyLimitBytes by setting("body-limit-bytes", "Largest request body. Default: the manifest's.").int()
    private val fileLimitBytes by setting("file-limit-bytes", "Largest uploaded file.").long().default(64_000_000)
    private val requestTimeoutMillis by setting("request-timeout-millis", "Longest attempt on a backend server.")
        .long().default(60_000)
    private val logLevel by setting("log-level", "Least severe level that is logged.")
        .choice("trace", "debug", "info", "warn", "error").default("info")
    private val peerRoutes by setting(
        "peer-route",
        "ADVERTISED=ACTUAL: address to use for a node's advertised one, where links translate addresses. Repeatable.",
    ).convert { text ->
        val (advertised, actual) = text.split('=').takeIf { it.size == 2 } ?: fail("'$text' is not ADVERTISED=ACTUAL")
        if (HostAndPort.parse(advertised) == null || HostAndPort.parse(actual) == null) {
            fail("'$text' does not consist of two IP numbers with ports")
        }
        advertised to actual
    }.multiple()
    private val tlsCertificate by setting("peer-tls-certificate", "PEM file of this node's certificate chain.")
        .path(mustExist = true, canBeDir = false)
    private val tlsKey by setting("peer-tls-key", "PEM file of this node's PKCS#8 key.")
        .path(mustExist = true, canBeDir = false)
    private val tlsTrust by setting("peer-tls-trust", "PEM file of the authorities of other nodes' certificates.")
        .path(mustExist = true, canBeDir = false)

    init {
        versionOption(version())
        context { helpFormatter = { MordantHelpFormatter(it, showDefaultValues = true, showRequiredTag = true) } }
    }

    override fun help(context: Context): String =
        "Serves online and batch model inference on an entry VM. Every option can also be given by its environment " +
            "variable."

    override fun run() {
        val usageErrors = usageErrors()
        if (usageErrors.isNotEmpty()) throw MultiUsageError(usageErrors)
        start(
            Settings(
                vm = VmId(vmId),
                failureDomain = FailureDomainId(failureDomain),
                listen = listen,
                peerListen = peerListen,
                advertise = advertise ?: listen,
                peerAdvertise = peerAdvertise ?: peerListen,
                platformUrl = platformUrl,
                dataFolder = dataFolder,
                drainDelayMillis = drainDelayMillis,
                drainLimitMillis = drainLimitMillis,
                bodyLimitBytes = bodyLimitBytes,
                fileLimitBytes = fileLimitBytes,
                requestTimeoutMillis = requestTimeoutMillis,
                logLevel = logLevel,
                peerTls = peerTls(),
                peerRoutes = peerRoutes.toMap(),
            ),
        )
    }

    /** Checks that involve several settings or need the final values. */
    private fun usageErrors(): List<UsageError> = buildList {
        if (vmId.isBlank()) add(UsageError("--vm-id must not be blank"))
        if (failureDomain.isBlank()) add(UsageError("--failure-domain must not be blank"))
        if (listen.isWildcard && advertise == null) {
            add(UsageError("--advertise is required because --listen is a wildcard address"))
        }
        if (peerListen.isWildcard && peerAdvertise == null) {
            add(UsageError("--peer-advertise is required because --peer-listen is a wildcard address"))
        }
        requirePositive("--drain-limit-millis", drainLimitMillis)
        requirePositive("--file-limit-bytes", fileLimitBytes)
        requirePositive("--request-timeout-millis", requestTimeoutMillis)
        bodyLimitBytes?.let { requirePositive("--body-limit-bytes", it.toLong()) }
        if (drainDelayMillis < 0) add(UsageError("--drain-delay-millis must not be negative"))
        val tls = mapOf(
            "--peer-tls-certificate" to tlsCertificate,
            "--peer-tls-key" to tlsKey,
            "--peer-tls-trust" to tlsTrust,
        )
        if (tls.values.any { it != null }) {
            tls.filterValues { it == null }.keys
                .forEach { add(UsageError("$it is required with the other peer TLS settings")) }
        }
    }

    private fun MutableList<UsageError>.requirePositive(flag: String, value: Long) {
        if (value <= 0) add(UsageError("$flag must be greater than 0"))
    }

    private fun peerTls(): PeerTls? {
        val certificate = tlsCertificate ?: return null
        return PeerTls(certificate, checkNotNull(tlsKey), checkNotNull(tlsTrust))
    }

    private fun setting(flag: String, help: String): RawOption =
        option("--$flag", envvar = "RAGWORTBARROW_" + flag.uppercase().replace('-', '_'), help = help)
}

private fun RawOption.address(): NullableOption<HostAndPort, HostAndPort> = convert("address") { text ->
    HostAndPort.parse(text) ?: fail("'$text' is not an IP number with a port, such as 10.0.0.1:8080")
}

private fun defaultAddress(port: Int) = HostAndPort("127.0.0.1", port)

private fun String.isHttpUrl(): Boolean = try {
    URI(this).run { (scheme == "http" || scheme == "https") && host != null }
} catch (_: URISyntaxException) {
    false
}

/** The version in the jar's manifest, or `development` when running from class files. */
internal fun version(): String = NodeCommand::class.java.`package`?.implementationVersion ?: "development"
