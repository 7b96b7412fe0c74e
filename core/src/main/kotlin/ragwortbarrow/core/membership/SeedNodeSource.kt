package ragwortbarrow.core.membership

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId

/** A VM that may run a node, used to join the gossip. */
data class SeedNode(val vm: VmId, val failureDomain: FailureDomainId, val peerAddress: String)

/** Reads the seed nodes, or returns null if they cannot be read now. */
fun interface SeedNodeSource {
    suspend fun read(): List<SeedNode>?
}
