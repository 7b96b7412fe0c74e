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
 * Writes objects so that a lost reply can be resolved.
 *
 * Each write stores a token of its own in the field `writer` and the tokens before it in `previousWriters`. When the
 * outcome of a write is unknown, the object is read back:
 *
 * - the token is among the stored ones: the write took effect, even if somebody has written since;
 * - the tokens show that another write replaced the expected version: the write did not take effect and never will;
 * - the object is still as it was before the write: the request may yet arrive, so the same conditional write with the
 *   same token is sent again; whichever copy arrives second is refused by the version check;
 * - anything else, or no answer within [readBackAttempts]: the outcome stays unknown.
 *
 * [writer] must be unique to one start of one process, for example VM id and incarnation.
 */
class IdempotentWriter(
    private val store: ObjectStore,
    private val timer: TimerService,
    private val writer: String,
    private val readBackAttempts: Int = 5,
    private val readBackDelayMillis: Long = 200,
) {
    private val sequence = AtomicLong()

    /** Creates an object; [StoreError.AlreadyExists] means that somebody else created it. */
    suspend fun create(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        labels: Map<String, String> = emptyMap(),
    ): Result<StoredObject, StoreError> {
        val token = nextToken()
        val signed = spec.signed(token, emptyList())
        return resolving(kind, name, send = { store.create(kind, name, signed, labels) }) { found ->
            when {
                found == null -> ReadBack.Unchanged
                token in found.writers() -> ReadBack.TookEffect(found)
                found.writers().size in 1 until MAX_WRITERS ->
                    ReadBack.Refused(StoreError.AlreadyExists("$kind $name was created by ${found.lastWriter()}"))
                else -> ReadBack.Undecided
            }
        }
    }

    /** Replaces [current] if it still has its version; [StoreError.Conflict] means that somebody else replaced it. */
    suspend fun update(
        current: StoredObject,
        spec: JsonObject,
        labels: Map<String, String> = current.labels,
    ): Result<StoredObject, StoreError> {
        val token = nextToken()
        val signed = spec.signed(token, current.writers())
        val send = suspend { store.update(current.kind, current.name, current.version, signed, labels) }
        return resolving(current.kind, current.name, send) { found ->
            when {
                found == null -> ReadBack.Undecided
                token in found.writers() -> ReadBack.TookEffect(found)
                found.version == current.version -> ReadBack.Unchanged
                found.version < current.version -> ReadBack.Undecided
                current.lastWriter() != null && current.lastWriter() in found.writers() ->
                    ReadBack.Refused(
                        StoreError.Conflict("${current.kind} ${current.name} was replaced by ${found.lastWriter()}"),
                    )
                else -> ReadBack.Undecided
            }
        }
    }

    /** Deletes [current] if it still has its version; an object that is gone counts as deleted. */
    suspend fun delete(current: StoredObject): Result<Unit, StoreError> {
        val send = suspend { store.delete(current.kind, current.name, current.version) }
        return resolving(current.kind, current.name, send) { found ->
            when {
                found == null -> ReadBack.TookEffect(Unit)
                found.version <= current.version -> ReadBack.Unchanged
                else -> ReadBack.Refused(StoreError.Conflict("${current.kind} ${current.name} was replaced"))
            }
        }
    }

    private suspend fun <T> resolving(
        kind: ObjectKind,
        name: String,
        send: suspend () -> Result<T, StoreError>,
        judge: (StoredObject?) -> ReadBack<T>,
    ): Result<T, StoreError> {
        val first = send()
        if (first.fold({ null }, { it }) !is StoreError.OutcomeUnknown) return first
        repeat(readBackAttempts) { attempt ->
            if (attempt > 0) timer.pause(readBackDelayMillis shl (attempt - 1).coerceAtMost(MAX_DOUBLINGS))
            when (val found = readBack(kind, name, judge)) {
                is ReadBack.TookEffect -> return Ok(found.value)
                is ReadBack.Refused -> return Err(found.error)
                // A conflict of the second copy may be caused by the first one, so it only leads to another read.
                ReadBack.Unchanged -> send().fold({ return Ok(it) }, {})
                ReadBack.Undecided -> Unit
            }
        }
        return Err(StoreError.OutcomeUnknown("the outcome of the write to $kind $name could not be determined"))
    }

    private suspend fun <T> readBack(kind: ObjectKind, name: String, judge: (StoredObject?) -> ReadBack<T>) =
        store.get(kind, name).fold(
            { judge(it) },
            { if (it is StoreError.NotFound) judge(null) else ReadBack.Undecided },
        )

    private fun nextToken() = "$writer#${sequence.incrementAndGet()}"

    private sealed interface ReadBack<out T> {
        data class TookEffect<T>(val value: T) : ReadBack<T>

        data class Refused(val error: StoreError) : ReadBack<Nothing>

        data object Unchanged : ReadBack<Nothing>

        data object Undecided : ReadBack<Nothing>
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}

private const val MAX_WRITERS = 5

private fun JsonObject.signed(token: String, previous: List<String>) = JsonObject(
    this + mapOf(
        "writer" to JsonPrimitive(token),
        "previousWriters" to JsonArray(previous.take(MAX_WRITERS - 1).map(::JsonPrimitive)),
    ),
)

/** The token of the last write by a [IdempotentWriter], or null for an object that none has written. */
fun StoredObject.lastWriter(): String? = writers().firstOrNull()

private fun StoredObject.writers(): List<String> =
    listOfNotNull(spec["writer"].text()) + (spec["previousWriters"] as? JsonArray).orEmpty().mapNotNull { it.text() }

private fun JsonElement?.text(): String? = (this as? JsonPrimitive)?.contentOrNull
