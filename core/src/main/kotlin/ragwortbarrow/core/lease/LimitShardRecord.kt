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

/** The lease record of a limit shard as the platform keeps it (kind `limitshards`). */
@Serializable
data class LimitShardRecord(
    val owner: VmId,
    val ownerIncarnation: Long,
    /** A process of the owner's VM that binds this address proves that the recorded process has ended. */
    val listenAddress: String,
    val fencingNumber: Long,
    val termMillis: Long,
    /** Names the write; a writer whose reply was lost recognizes its own write by it. */
    val writerToken: String,
    val standby: VmId? = null,
    val standbyIncarnation: Long = 0,
    /** The configuration in force at the owner; a node with an older one must not claim. */
    val configurationVersion: Long = 0,
    /** Layouts that the owner's accounts respect, the one in force last. */
    val layouts: List<ShardLayout> = emptyList(),
    val released: Boolean = false,
    /** Levels handed over with the release, in picotokens. */
    val levelsPicotokens: Map<CustomerId, Long> = emptyMap(),
    /** An operator has confirmed that owner and standby are lost. */
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
