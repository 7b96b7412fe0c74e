package ragwortbarrow.core.lease

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.limits.ShardLayout
import ragwortbarrow.core.store.StoredObject

/** The lease record of a limit shard, stored by the platform as an object of kind `limitshards`. */
@Serializable
data class LimitShardRecord(
    val owner: VmId,
    val ownerIncarnation: Long,
    /** If another process of the owner's VM can bind this address, the recorded process has ended. */
    val listenAddress: String,
    val fencingNumber: Long,
    val termMillis: Long,
    /** Identifies the write, so that a writer whose reply was lost can recognize its own write. */
    val writerToken: String,
    val standby: VmId? = null,
    val standbyIncarnation: Long = 0,
    /** The configuration version of the owner; a node with an older version must not claim the shard. */
    val configurationVersion: Long = 0,
    /** The layouts that limit the owner's buckets; the current one is last. */
    val layouts: List<ShardLayout> = emptyList(),
    val released: Boolean = false,
    /** Bucket levels handed over with the release, in picotokens. */
    val levelsPicotokens: Map<CustomerId, Long> = emptyMap(),
    /** Whether an operator has confirmed that the owner and the standby are lost. */
    val confirmedLost: Boolean = false,
) {
    fun toSpec(): JsonObject = json.encodeToJsonElement(this).jsonObject

    companion object {
        private val json = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

        fun of(stored: StoredObject): LimitShardRecord = json.decodeFromJsonElement(stored.spec)
    }
}
