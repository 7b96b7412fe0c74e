package ragwortbarrow.core.fleet

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId

/** A node of the fleet: its VM, where its peers reach it, and a number that grows with each start. */
data class FleetNode(
    val vm: VmId,
    val address: String,
    val incarnation: Long,
    val failureDomain: FailureDomainId = FailureDomainId(""),
    /** Processor share in thousandths of a processor; 0 if the node does not say. */
    val capacityMillicores: Int = 0,
)
