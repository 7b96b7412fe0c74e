package ragwortbarrow.entry

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.jobs.JobStore

/** Settings of an entry node. Addresses are `IP:PORT`. */
data class EntrySettings(
    val vm: VmId,
    val failureDomain: FailureDomainId,
    val callerAddress: String,
    val healthAddress: String,
    val peerAddress: String,
    /** Address at which other nodes reach [peerAddress], if it differs, as behind a proxy. */
    val advertisedPeerAddress: String = peerAddress,
    /** Peer addresses of some nodes for the first contact; may be out of date. */
    val seedAddresses: List<String> = emptyList(),
    /** Processor share of the VM in thousandths of a processor; nodes with a larger share act as relays. */
    val capacityMillicores: Int = 0,
    /** Window over which a customer's requests are counted for its rate limit. */
    val rateWindowMillis: Long = 5_000,
    /** Time that the platform allows between SIGTERM and SIGKILL. */
    val stopGraceMillis: Long = 8_000,
    /** The largest difference between the clocks of two nodes, or between a clock before and after it is set. */
    val maxClockSkewMillis: Long = DEFAULT_MAX_CLOCK_SKEW_MILLIS,
    /** Descriptors that the process may open. */
    val maxDescriptors: Int = 4_096,
    /** Whether the operators may ask to evacuate failure domains. */
    val hasEvacuations: Boolean = false,
    /** Size of an object that the platform's store accepts. */
    val maxObjectBytes: Int = JobStore.DEFAULT_MAX_OBJECT_BYTES,
)

internal const val DEFAULT_MAX_CLOCK_SKEW_MILLIS = 5_000L
