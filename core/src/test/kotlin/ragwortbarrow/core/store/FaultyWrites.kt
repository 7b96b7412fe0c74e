package ragwortbarrow.core.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonObject

internal typealias Write = suspend () -> Result<StoredObject, StoreError>

/** Applies one entry of [faults] to each write; without an entry the write reaches the store. */
internal class FaultyWrites(private val store: InMemoryObjectStore) : ObjectStore by store {
    val faults = ArrayDeque<suspend (Write) -> Result<StoredObject, StoreError>>()
    var reads: ObjectStore = store
    var readsFail = false
    var loseNextDelete = false
    var writes = 0

    override suspend fun get(kind: ObjectKind, name: String) =
        if (readsFail) Err(StoreError.Unavailable("down")) else reads.get(kind, name)

    override suspend fun create(kind: ObjectKind, name: String, spec: JsonObject, labels: Map<String, String>) =
        write { store.create(kind, name, spec, labels) }

    override suspend fun update(
        kind: ObjectKind,
        name: String,
        expectedVersion: Long,
        spec: JsonObject,
        labels: Map<String, String>,
    ) = write { store.update(kind, name, expectedVersion, spec, labels) }

    override suspend fun delete(kind: ObjectKind, name: String, expectedVersion: Long): Result<Unit, StoreError> {
        val result = store.delete(kind, name, expectedVersion)
        return if (loseNextDelete) Err(StoreError.OutcomeUnknown("lost")).also { loseNextDelete = false } else result
    }

    private suspend fun write(send: Write): Result<StoredObject, StoreError> {
        writes++
        return faults.removeFirstOrNull()?.invoke(send) ?: send()
    }
}
