package ragwortbarrow.core.limits

import com.github.michaelbull.result.get
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo

/** Tells whether every limit shard of this node's failure domain has had an owner that answers since the start. */
internal class LimitReadiness(private val self: MemberInfo, private val directory: OwnerDirectory) {
    @Volatile
    var isReady: Boolean = false
        private set

    /** Asks the owners once; asking for no tokens changes nothing. */
    suspend fun probe(layout: ShardLayout) {
        isReady = isReady || layout.shards.filter { it.failureDomain == self.failureDomain }.all { answers(it) }
    }

    private suspend fun answers(shard: LimitShardId): Boolean {
        val request = AcquireRequest(self.vm, shard, items = emptyList(), isLoan = true)
        return directory.acquire(request).get() != null
    }
}
