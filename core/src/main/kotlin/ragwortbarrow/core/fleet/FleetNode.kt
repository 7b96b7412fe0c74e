package ragwortbarrow.core.fleet

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId

/** A node of the fleet. [address] is the one for peers, and [incarnation] grows with each start of the process. */
data class FleetNode(
    val vm: VmId,
    val address: String,
    val incarnation: Long,
    val failureDomain: FailureDomainId = FailureDomainId(""),
    /** CPU share in thousandths of a processor; 0 if unknown. */
    val capacityMillicores: Int = 0,
)
