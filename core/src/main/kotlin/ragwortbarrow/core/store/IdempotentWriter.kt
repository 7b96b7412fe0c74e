package ragwortbarrow.core.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes objects and determines the outcome of a write whose reply was lost.
 *
 * Each write stores a unique token in the field `writer` and the tokens of earlier writes in `previousWriters`. When
 * the outcome of a write is unknown, the object is read back:
 *
 * - The token is among the stored ones: the write took effect, even if another writer has replaced it since.
 * - The tokens show that another write replaced the expected version: the write did not take effect and never will.
 * - The object is unchanged: the request may still be in transit, so the same conditional write is sent again with the
 *   same token. The version check rejects whichever copy arrives second.
 * - In any other case, or if no read succeeds within [readBackAttempts], the outcome stays unknown.
 *
 * [writer] must be unique for each start of a process, for example VM id and incarnation.
 */
class IdempotentWriter(
    private val store: ObjectStore,
    private val timer: TimerService,
    private val writer: String,
    private val readBackAttempts: Int = 5,
    private val readBackDelayMillis: Long = 200,
) {
    private val sequence = AtomicLong()

    /** Creates an object; [StoreError.AlreadyExists] means that another writer created it. */
    suspend fun create(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        labels: Map<String, String> = emptyMap(),
    ): Result<StoredObject, StoreError> {
        val token = nextToken()
        val specWithToken = spec.withWriterToken(token, emptyList())
        return resolveOutcome(kind, name, send = { store.create(kind, name, specWithToken, labels) }) { found ->
            when {
                found == null -> ReadBack.Unchanged
                token in found.writerTokens() -> ReadBack.Applied(found)
                found.writerTokens().size in 1 until MAX_WRITER_TOKENS ->
                    ReadBack.NotApplied(StoreError.AlreadyExists("$kind $name was created by ${found.lastWriter()}"))
                else -> ReadBack.Undetermined
            }
        }
    }

    /** Replaces [current] if its version is unchanged; [StoreError.Conflict] means that another writer replaced it. */
    suspend fun update(
        current: StoredObject,
        spec: JsonObject,
        labels: Map<String, String> = current.labels,
    ): Result<StoredObject, StoreError> {
        val token = nextToken()
        val specWithToken = spec.withWriterToken(token, current.writerTokens())
        val send = suspend { store.update(current.kind, current.name, current.version, specWithToken, labels) }
        return resolveOutcome(current.kind, current.name, send) { found ->
            when {
                found == null -> ReadBack.Undetermined
                token in found.writerTokens() -> ReadBack.Applied(found)
                found.version == current.version -> ReadBack.Unchanged
                found.version < current.version -> ReadBack.Undetermined
                current.lastWriter() != null && current.lastWriter() in found.writerTokens() ->
                    ReadBack.NotApplied(
                        StoreError.Conflict("${current.kind} ${current.name} was replaced by ${found.lastWriter()}"),
                    )
                else -> ReadBack.Undetermined
            }
        }
    }

    /** Deletes [current] if its version is unchanged; an object that no longer exists counts as deleted. */
    suspend fun delete(current: StoredObject): Result<Unit, StoreError> {
        val send = suspend { store.delete(current.kind, current.name, current.version) }
        return resolveOutcome(current.kind, current.name, send) { found ->
            when {
                found == null -> ReadBack.Applied(Unit)
                found.version <= current.version -> ReadBack.Unchanged
                else -> ReadBack.NotApplied(StoreError.Conflict("${current.kind} ${current.name} was replaced"))
            }
        }
    }

    private suspend fun <T> resolveOutcome(
        kind: ObjectKind,
        name: String,
        send: suspend () -> Result<T, StoreError>,
        classify: (StoredObject?) -> ReadBack<T>,
    ): Result<T, StoreError> {
        val first = send()
        if (first.fold({ null }, { it }) !is StoreError.OutcomeUnknown) return first
        repeat(readBackAttempts) { attempt ->
            if (attempt > 0) timer.pause(readBackDelayMillis shl (attempt - 1).coerceAtMost(MAX_DOUBLINGS))
            when (val found = readBack(kind, name, classify)) {
                is ReadBack.Applied -> return Ok(found.value)
                is ReadBack.NotApplied -> return Err(found.error)
                // The first copy of the write may cause a conflict for the second one, so read again on any error.
                ReadBack.Unchanged -> send().fold({ return Ok(it) }, {})
                ReadBack.Undetermined -> Unit
            }
        }
        return Err(StoreError.OutcomeUnknown("the outcome of the write to $kind $name could not be determined"))
    }

    private suspend fun <T> readBack(kind: ObjectKind, name: String, classify: (StoredObject?) -> ReadBack<T>) =
        store.get(kind, name).fold(
            { classify(it) },
            { if (it is StoreError.NotFound) classify(null) else ReadBack.Undetermined },
        )

    private fun nextToken() = "$writer#${sequence.incrementAndGet()}"

    private sealed interface ReadBack<out T> {
        data class Applied<T>(val value: T) : ReadBack<T>

        data class NotApplied(val error: StoreError) : ReadBack<Nothing>

        data object Unchanged : ReadBack<Nothing>

        data object Undetermined : ReadBack<Nothing>
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}

private const val MAX_WRITER_TOKENS = 5

private fun JsonObject.withWriterToken(token: String, previous: List<String>) = JsonObject(
    this + mapOf(
        "writer" to JsonPrimitive(token),
        "previousWriters" to JsonArray(previous.take(MAX_WRITER_TOKENS - 1).map(::JsonPrimitive)),
    ),
)

/** Token of the last write by an [IdempotentWriter], or null if the object was never written by one. */
fun StoredObject.lastWriter(): String? = writerTokens().firstOrNull()

private fun StoredObject.writerTokens(): List<String> =
    listOfNotNull(spec["writer"].text()) + (spec["previousWriters"] as? JsonArray).orEmpty().mapNotNull { it.text() }

private fun JsonElement?.text(): String? = (this as? JsonPrimitive)?.contentOrNull
