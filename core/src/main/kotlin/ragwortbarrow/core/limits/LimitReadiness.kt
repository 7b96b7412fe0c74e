package ragwortbarrow.core.limits

import com.github.michaelbull.result.get
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService

/**
 * Tells when a started node can admit requests: every limit shard of its failure domain has an owner that answers.
 *
 * A node that never gets there reports ready after [limitMillis] all the same, because it may serve routes without keys
 * and borrow from other failure domains. Once ready it stays so; a later loss of owners is no reason to leave the load
 * balancer, since all nodes of the failure domain share it.
 */
internal class LimitReadiness(
    private val self: MemberInfo,
    private val timer: TimerService,
    private val directory: OwnerDirectory,
    private val limitMillis: Long = 15_000,
) {
    @Volatile
    private var sinceNanos: Long? = null

    @Volatile
    var isReady: Boolean = false
        private set

    /** Asks the owners once; asking for no tokens changes nothing. */
    suspend fun probe(layout: ShardLayout) {
        val now = timer.nanoTime()
        val since = sinceNanos ?: now.also { sinceNanos = it }
        val shards = layout.shards.filter { it.failureDomain == self.failureDomain }
        isReady = isReady || now - since >= limitMillis * NANOS_PER_MILLI || shards.all { answers(it) }
    }

    private suspend fun answers(shard: LimitShardId): Boolean {
        val request = AcquireRequest(self.vm, shard, items = emptyList(), lend = true)
        return directory.acquire(request).get() != null
    }
}
