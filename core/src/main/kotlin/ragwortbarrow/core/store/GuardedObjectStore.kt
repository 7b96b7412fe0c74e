package ragwortbarrow.core.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.json.JsonObject

/** Makes the calls to [store] that [circuit] permits; the others fail without a call. */
class GuardedObjectStore(private val store: ObjectStore, private val circuit: StoreCircuit) : ObjectStore {
    override suspend fun get(kind: ObjectKind, name: String): Result<StoredObject, StoreError> =
        guard { store.get(kind, name) }

    override suspend fun list(
        kind: ObjectKind,
        labels: Map<String, String>,
        limit: Int,
        continueToken: String?,
        metadataOnly: Boolean,
    ): Result<ObjectPage, StoreError> = guard { store.list(kind, labels, limit, continueToken, metadataOnly) }

    override suspend fun create(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        labels: Map<String, String>,
    ): Result<StoredObject, StoreError> = guard { store.create(kind, name, spec, labels) }

    override suspend fun update(
        kind: ObjectKind,
        name: String,
        expectedVersion: Long,
        spec: JsonObject,
        labels: Map<String, String>,
    ): Result<StoredObject, StoreError> = guard { store.update(kind, name, expectedVersion, spec, labels) }

    override suspend fun delete(kind: ObjectKind, name: String, expectedVersion: Long): Result<Unit, StoreError> =
        guard { store.delete(kind, name, expectedVersion) }

    /** A watch follows a list, so it needs no probe of its own. */
    override fun watch(kind: ObjectKind, fromVersion: Long, metadataOnly: Boolean): Flow<WatchEvent> = flow {
        if (circuit.isOpen) throw WatchFailedException(PAUSED)
        emitAll(store.watch(kind, fromVersion, metadataOnly))
    }

    private suspend fun <T> guard(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        if (!circuit.tryCall()) return Err(StoreError.Unavailable(PAUSED))
        var result: Result<T, StoreError>? = null
        try {
            result = call()
        } finally {
            record(result)
        }
        return checkNotNull(result)
    }

    private fun <T> record(result: Result<T, StoreError>?) {
        val error = result?.fold({ null }, { it })
        when {
            result == null -> circuit.recordCancelled()
            error is StoreError.Unavailable || error is StoreError.OutcomeUnknown -> circuit.recordFailure(
                error.message,
            )
            else -> circuit.recordServed()
        }
    }

    private companion object {
        const val PAUSED = "calls to the store are paused after failures"
    }
}
