package ragwortbarrow.core.batch

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.store.StoredObject

/*
 * The platform objects of batch processing. Every record that can be updated contains the writer token of its last
 * update, so that a writer whose reply was lost recognizes its own update when it reads the object back.
 */

internal val recordJson = Json { ignoreUnknownKeys = true }

/** Encodes a record as the spec of a platform object. */
internal inline fun <reified T> T.toSpec(): JsonObject = recordJson.encodeToJsonElement(this).jsonObject

/** Decodes the spec of a platform object. */
internal inline fun <reified T> StoredObject.record(): T = recordJson.decodeFromJsonElement(spec)

/** An uploaded file, written after all of its parts. */
@Serializable
internal data class FileRecord(
    val customer: CustomerId,
    val fileName: String,
    val sizeBytes: Long,
    val itemCount: Int,
    val createdAtMillis: Long,
    val partItemCounts: List<Int>,
    val urls: List<String>,
    val models: List<String>,
)

/** The lines of one part of a file. The items of a chunk are the lines of one part. */
@Serializable
internal data class FilePartRecord(val lines: List<String>)

@Serializable
internal data class JobRecord(
    val customer: CustomerId,
    val inputFileId: String,
    val endpoint: String,
    val completionWindowSeconds: Long,
    val idempotencyKey: String? = null,
    val metadata: Map<String, String> = emptyMap(),
    val model: String? = null,
    val chunkItemCounts: List<Int>,
    val createdAtMillis: Long,
    val deadlineMillis: Long,
    val state: JobState = JobState.IN_PROGRESS,
    val completedItems: Int = 0,
    val failedItems: Int = 0,
    val writer: String,
) {
    val itemCount: Int get() = chunkItemCounts.sum()
    val chunkCount: Int get() = chunkItemCounts.size
}

@Serializable
internal enum class ChunkState {
    /** Items are unfinished; a node may hold the chunk. */
    OPEN,

    /** Every item has a result. */
    DONE,

    /** The job was cancelled; no further result is recorded. */
    CLOSED,
}

/** One chunk: its holder, and the state of the items that were started or finished so far. */
@Serializable
internal data class ChunkRecord(
    val jobId: String,
    val index: Int,
    val itemCount: Int,
    val holder: VmId? = null,
    val holderIncarnation: Long = 0,
    val fencingNumber: Long = 0,
    val state: ChunkState = ChunkState.OPEN,
    val items: List<ItemRecord> = emptyList(),
    /** Number of holders lost in a row without recording a result. */
    val lostHolders: Int = 0,
    val writer: String,
) {
    val completedItems: Int get() = items.count { it.state == ItemState.COMPLETED }
    val failedItems: Int get() = items.count { it.state == ItemState.FAILED }
    val finishedItems: Int get() = items.count { it.state != ItemState.UNFINISHED }
}

@Serializable
internal enum class ItemState { UNFINISHED, COMPLETED, FAILED }

/** An item that was started or finished. Its result is here or, if the chunk is too large, in the object [overflow]. */
@Serializable
internal data class ItemRecord(
    val index: Int,
    val state: ItemState = ItemState.UNFINISHED,
    val attempts: Int = 0,
    /** The item has been or will be sent and must not be sent again; only set on routes that are not repeatable. */
    val started: Boolean = false,
    val result: ItemResult? = null,
    val overflow: String? = null,
)

/** The result of an item, with the fields of a line of the output file. */
@Serializable
internal data class ItemResult(
    val customId: String,
    val requestId: String,
    val statusCode: Int? = null,
    val body: JsonElement? = null,
    val errorCode: String? = null,
    val errorMessage: String? = null,
) {
    val state: ItemState get() = if (errorCode == null) ItemState.COMPLETED else ItemState.FAILED
}

/** Results that did not fit into their chunk, by item index. */
@Serializable
internal data class OverflowRecord(val results: Map<Int, ItemResult>)
