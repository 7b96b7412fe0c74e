package ragwortbarrow.core.batch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject

/** Takes one guard of batch work away, to show that the tests notice. */
internal enum class StoreVariant {
    FAITHFUL,

    /** Updates take effect whatever the version. */
    UNCONDITIONAL,

    /** A write whose reply was lost looks as if it had been refused. */
    LOST_REPLY_IS_FAILURE,

    /** Chunks are stored without the records of started items. */
    NO_START_RECORDS,
    ;

    fun wrap(store: ObjectStore): ObjectStore = if (this == FAITHFUL) store else VariantStore(store, this)
}

private class VariantStore(private val store: ObjectStore, private val variant: StoreVariant) : ObjectStore by store {
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
        val version = if (variant == StoreVariant.UNCONDITIONAL) {
            store.get(kind, name).getOrElse { return reply(Err(it)) }.version
        } else {
            expectedVersion
        }
        return reply(store.update(kind, name, version, stripped(spec), labels))
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
