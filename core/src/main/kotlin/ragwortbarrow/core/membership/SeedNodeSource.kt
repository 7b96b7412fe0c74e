package ragwortbarrow.core.membership

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId

/** A VM that may run a node. */
data class SeedNode(val vm: VmId, val failureDomain: FailureDomainId, val peerAddress: String)

/** Gives VMs that may run nodes, or null if none could be read now. */
fun interface SeedNodeSource {
    suspend fun read(): List<SeedNode>?
}
