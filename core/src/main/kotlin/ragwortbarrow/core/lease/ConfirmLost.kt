package ragwortbarrow.core.lease

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import ragwortbarrow.core.limits.ShardLayout
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError

/**
 * Records an operator's confirmation that owner and standby of [shard] have ended for good; the shard can then be
 * claimed after a term. The record also takes over the configuration in force, so that a lost failure domain does not
 * hold back the shares of the others. [operation] names this confirmation and is never used again.
 */
suspend fun confirmLost(
    store: ObjectStore,
    shard: LimitShardId,
    operation: String,
    configurationVersion: Long,
    manifest: Manifest,
): Result<LimitShardRecord, StoreError> = store.get(ObjectKind.LIMIT_SHARDS, shard.toString()).flatMap { stored ->
    val record = LimitShardRecord.of(stored)
    val layout = ShardLayout.of(manifest)
    val confirmed = record.copy(
        confirmedLost = true,
        writerToken = operation,
        configurationVersion = maxOf(record.configurationVersion, configurationVersion),
        layouts = if (configurationVersion >= record.configurationVersion) {
            record.layouts - layout + layout
        } else {
            record.layouts
        },
    )
    store.update(ObjectKind.LIMIT_SHARDS, stored.name, stored.version, confirmed.toSpec(), stored.labels)
        .map { confirmed }
}
