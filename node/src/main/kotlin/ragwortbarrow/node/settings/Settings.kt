package ragwortbarrow.node.settings

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.peer.PeerTls
import java.nio.file.Path

/** Settings of a node; `docs/settings.md` describes each flag. */
data class Settings(
    val vm: VmId,
    val failureDomain: FailureDomainId,
    val listen: HostAndPort,
    val peerListen: HostAndPort,
    val advertise: HostAndPort,
    val peerAdvertise: HostAndPort,
    val platformUrl: String,
    val dataFolder: Path? = null,
    val drainDelayMillis: Long = 5_000,
    val drainLimitMillis: Long = 30_000,
    val bodyLimitBytes: Int? = null,
    val fileLimitBytes: Long = 64_000_000,
    val requestTimeoutMillis: Long = 60_000,
    val logLevel: String = "info",
    val peerTls: PeerTls? = null,
    val peerRoutes: Map<String, String> = emptyMap(),
)
