package ragwortbarrow.core.limits

import com.github.michaelbull.result.get
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo

/** Whether the owners of all limit shards of this node's failure domain have answered at least once since the start. */
internal class LimitReadiness(private val self: MemberInfo, private val directory: OwnerDirectory) {
    @Volatile
    var isReady: Boolean = false
        private set

    /** Sends each owner one request for no tokens, which changes nothing. */
    suspend fun probe(layout: ShardLayout) {
        isReady = isReady || layout.shards.filter { it.failureDomain == self.failureDomain }.all { ownerResponds(it) }
    }

    private suspend fun ownerResponds(shard: LimitShardId): Boolean {
        val request = AcquireRequest(self.vm, shard, items = emptyList(), isLoan = true)
        return directory.acquire(request).get() != null
    }
}
