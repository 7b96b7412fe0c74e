package ragwortbarrow.entry

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId

/** What an entry node learns from its settings. Addresses are `IP:PORT`. */
data class EntrySettings(
    val vm: VmId,
    val failureDomain: FailureDomainId,
    val callerAddress: String,
    val healthAddress: String,
    val peerAddress: String,
    /** Where other nodes reach [peerAddress], if that is another address. */
    val advertisedPeerAddress: String = peerAddress,
    /** Peer addresses of some nodes, which may be out of date. */
    val seedAddresses: List<String> = emptyList(),
    /** Processor share of the VM in thousandths of a processor; nodes with more of it relay for others. */
    val capacityMillicores: Int = 0,
    /** The window over which a customer's rate is counted. */
    val rateWindowMillis: Long = 5_000,
    /** Time between SIGTERM and SIGKILL. */
    val stopGraceMillis: Long = 8_000,
)
