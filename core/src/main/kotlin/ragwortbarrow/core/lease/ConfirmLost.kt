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
 * Records an operator's confirmation that the owner and the standby of [shard] are permanently lost; the shard can then
 * be claimed after one term. The record also adopts the active configuration, so that a lost failure domain does not
 * delay larger shares of the others. [operationId] must be unique to this confirmation.
 */
suspend fun confirmLost(
    store: ObjectStore,
    shard: LimitShardId,
    operationId: String,
    configurationVersion: Long,
    manifest: Manifest,
): Result<LimitShardRecord, StoreError> = store.get(ObjectKind.LIMIT_SHARDS, shard.toString()).flatMap { stored ->
    val record = LimitShardRecord.of(stored)
    val layout = ShardLayout.of(manifest)
    val confirmed = record.copy(
        confirmedLost = true,
        writerToken = operationId,
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
