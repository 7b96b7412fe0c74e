package ragwortbarrow.core.membership

import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.ShardOwner

/** What this node knows of the other members. Reading takes no lock. */
interface MemberView {
    val self: MemberInfo

    /** Members whose heartbeat moves, this node included, in the order of their ids. */
    fun live(failureDomain: FailureDomainId? = null): List<MemberInfo>

    fun member(vm: VmId): MemberInfo?

    /** The newest known owner of [shard]. */
    fun ownerOf(shard: LimitShardId): ShardOwner?

    /** Spreads [owner] to the other members if it is newer than what is known. */
    fun announce(owner: ShardOwner)

    /** Milliseconds since this node heard from the platform, directly or through peers; null if never. */
    fun platformAgeMillis(): Long?

    /** Milliseconds since this node heard of [failureDomain], directly or through peers; null if never. */
    fun domainAgeMillis(failureDomain: FailureDomainId): Long?
}
