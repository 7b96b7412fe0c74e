package ragwortbarrow.core.batch

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.mapError
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject

/** Disables one safeguard of batch processing, to show that the tests detect its absence. */
internal enum class StoreVariant {
    FAITHFUL,

    /** Updates are applied regardless of the expected version. */
    UNCONDITIONAL,

    /** A write whose reply was lost is reported as not applied. */
    LOST_REPLY_IS_FAILURE,

    /** Chunks are stored without the records of started items. */
    NO_START_RECORDS,
    ;

    fun wrap(store: InMemoryObjectStore): ObjectStore = if (this == FAITHFUL) store else VariantStore(store, this)
}

private class VariantStore(private val store: InMemoryObjectStore, private val variant: StoreVariant) :
    ObjectStore by store {
    override suspend fun create(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        labels: Map<String, String>,
    ): Result<StoredObject, StoreError> = reply(store.create(kind, name, stripped(spec), labels))

    override suspend fun update(
        kind: ObjectKind,
        name: String,
        expectedVersion: Long,
        spec: JsonObject,
        labels: Map<String, String>,
    ): Result<StoredObject, StoreError> {
        val updated = store.update(kind, name, expectedVersion, stripped(spec), labels)
        if (variant == StoreVariant.UNCONDITIONAL && updated.getError() is StoreError.Conflict) {
            return Ok(store.put(kind, name, spec, labels))
        }
        return reply(updated)
    }

    private fun reply(result: Result<StoredObject, StoreError>) = result.mapError {
        val unknown = it is StoreError.OutcomeUnknown && variant == StoreVariant.LOST_REPLY_IS_FAILURE
        if (unknown) StoreError.Unavailable(it.message) else it
    }

    private fun stripped(spec: JsonObject): JsonObject {
        val items = spec["items"] as? JsonArray
        if (variant != StoreVariant.NO_START_RECORDS || items == null) return spec
        return JsonObject(spec + ("items" to JsonArray(items.map { JsonObject((it as JsonObject) - "started") })))
    }
}
