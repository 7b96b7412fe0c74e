package ragwortbarrow.core.membership

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.ShardOwner

/** The members of the fleet as known to this node. Reads take no lock. */
interface MemberView {
    val self: MemberInfo

    /** Members whose heartbeat has advanced recently, including this node, ordered by VM id. */
    fun live(failureDomain: FailureDomainId? = null): List<MemberInfo>

    fun member(vm: VmId): MemberInfo?

    /** The owner of [shard] with the highest known fencing number. */
    fun ownerOf(shard: LimitShardId): ShardOwner?

    /** Announces [owner] to the other members, unless an equally new or newer owner is known. */
    fun announce(owner: ShardOwner)

    /** Time since the last contact with the platform, directly or through peers; null if there was none. */
    fun platformAgeMillis(): Long?

    /** Time since the last contact with [failureDomain], directly or through peers; null if there was none. */
    fun domainAgeMillis(failureDomain: FailureDomainId): Long?
}
