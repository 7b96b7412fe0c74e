package ragwortbarrow.core.store

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.json.JsonObject

/**
 * The platform's object API: versions, conditional updates and watches. Every function is one platform call; a waiting
 * watch counts as one.
 */
interface ObjectStore {
    suspend fun get(kind: ObjectKind, name: String): Result<StoredObject, StoreError>

    /** Lists objects whose labels contain [labels]; with [metadataOnly] the specs are empty. */
    suspend fun list(
        kind: ObjectKind,
        labels: Map<String, String> = emptyMap(),
        limit: Int = 500,
        continueToken: String? = null,
        metadataOnly: Boolean = false,
    ): Result<ObjectPage, StoreError>

    suspend fun create(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        labels: Map<String, String> = emptyMap(),
    ): Result<StoredObject, StoreError>

    /** Replaces the object if it still has [expectedVersion]. */
    suspend fun update(
        kind: ObjectKind,
        name: String,
        expectedVersion: Long,
        spec: JsonObject,
        labels: Map<String, String> = emptyMap(),
    ): Result<StoredObject, StoreError>

    suspend fun delete(kind: ObjectKind, name: String, expectedVersion: Long): Result<Unit, StoreError>

    /**
     * Streams changes after [fromVersion]. The flow ends normally when the platform closes the watch, and throws
     * [WatchFailedException] when the caller has to list again or the platform cannot be reached.
     */
    fun watch(kind: ObjectKind, fromVersion: Long, metadataOnly: Boolean = false): Flow<WatchEvent>
}

/** The kinds of objects that the system keeps in the platform. */
enum class ObjectKind(val path: String) {
    CONFIGURATIONS("configurations"),
    CONFIGURATION_PARTS("configurationparts"),
    KEY_GRANTS("keygrants"),
    KEY_TOMBSTONES("keytombstones"),
    VM_LEASES("vmleases"),
    LIMIT_SHARDS("limitshards"),
    FILES("files"),
    FILE_PARTS("fileparts"),
    BATCH_JOBS("batchjobs"),
    BATCH_CHUNKS("batchchunks"),
    PLACEMENTS("placements"),

    /** Batch jobs that entry nodes accepted, their states and their results. */
    ENTRY_JOBS("entryjobs"),
    ENTRY_JOB_STATES("entryjobstates"),
    ENTRY_RESULTS("entryresults"),

    /** Entry nodes by VM. */
    ENTRY_NODES("entrynodes"),

    /** What the operators publish on their platform: configuration, backend servers, storage VMs to be emptied. */
    PUBLISHED_CONFIGURATIONS("publishedconfigurations"),
    BACKEND_SERVERS("backendservers"),
    VM_RETIREMENTS("vmretirements"),

    /** The platform's lagging list of VMs; read-only. */
    VMS("vms"),
}

/** One object as read; [version] is the platform's resource version, which grows with every write. */
data class StoredObject(
    val kind: ObjectKind,
    val name: String,
    val version: Long,
    val spec: JsonObject,
    val labels: Map<String, String> = emptyMap(),
)

/** One page of a list; [listVersion] is where a watch continues from. */
data class ObjectPage(val items: List<StoredObject>, val listVersion: Long, val continueToken: String? = null)

/** One change seen by a watch. */
sealed interface WatchEvent {
    data class Changed(val stored: StoredObject) : WatchEvent

    data class Deleted(val name: String, val version: Long) : WatchEvent

    /** No change, but the watch is alive and has reached [version]. */
    data class Bookmark(val version: Long) : WatchEvent
}

/** Ends a watch that cannot go on; with [versionTooOld] the caller lists again before watching. */
class WatchFailedException(message: String, val versionTooOld: Boolean = false) : Exception(message)
