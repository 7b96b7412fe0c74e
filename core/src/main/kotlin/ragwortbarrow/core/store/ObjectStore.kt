package ragwortbarrow.core.store

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.json.JsonObject

/**
 * Client interface of the platform's object API, with versions, conditional updates and watches. Each function makes
 * one platform call; an open watch also counts as one.
 */
interface ObjectStore {
    suspend fun get(kind: ObjectKind, name: String): Result<StoredObject, StoreError>

    /** Lists objects whose labels include [labels]; with [metadataOnly] the specs are empty. */
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
     * Emits changes after [fromVersion]. The flow completes when the platform closes the watch, and throws
     * [WatchFailedException] when the caller has to list again or the platform is unreachable.
     */
    fun watch(kind: ObjectKind, fromVersion: Long, metadataOnly: Boolean = false): Flow<WatchEvent>
}

/** Kinds of objects that the system stores on the platform. */
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

    /** Batch jobs accepted by entry nodes, their states and their results. */
    ENTRY_JOBS("entryjobs"),
    ENTRY_JOB_STATES("entryjobstates"),
    ENTRY_RESULTS("entryresults"),

    /** Entry nodes by VM. */
    ENTRY_NODES("entrynodes"),

    /** Objects that the operators publish: configurations, backend servers, and what to retire or evacuate. */
    PUBLISHED_CONFIGURATIONS("publishedconfigurations"),
    BACKEND_SERVERS("backendservers"),
    VM_RETIREMENTS("vmretirements"),
    EVACUATIONS("evacuations"),

    /** The platform's list of VMs; read-only and eventually consistent. */
    VMS("vms"),
}

/** An object as read from the platform; [version] is its resource version, which increases with every write. */
data class StoredObject(
    val kind: ObjectKind,
    val name: String,
    val version: Long,
    val spec: JsonObject,
    val labels: Map<String, String> = emptyMap(),
)

/** One page of a list; a watch that continues the list starts at [listVersion]. */
data class ObjectPage(val items: List<StoredObject>, val listVersion: Long, val continueToken: String? = null)

/** An event of a watch. */
sealed interface WatchEvent {
    data class Changed(val stored: StoredObject) : WatchEvent

    data class Deleted(val name: String, val version: Long) : WatchEvent

    /** Nothing changed; the watch is open and has reached [version]. */
    data class Bookmark(val version: Long) : WatchEvent
}

/** Thrown when a watch cannot continue; if [versionTooOld] is set, the caller has to list again. */
class WatchFailedException(message: String, val versionTooOld: Boolean = false) : Exception(message)
