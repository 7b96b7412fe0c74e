package ragwortbarrow.core.batch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import kotlin.random.Random

/**
 * Limits the attempts of a write: [maxAttempts] as long as the platform certainly did not apply it,
 * [maxUncertainAttempts] once a reply was lost.
 */
internal data class WriteRetryPolicy(
    val maxAttempts: Int,
    val maxUncertainAttempts: Int = maxAttempts,
    val initialBackoffMillis: Long = 50,
    val maxBackoffMillis: Long = 5_000,
) {
    fun backoffMillis(attempts: Int, random: Random): Long {
        val ceiling = (initialBackoffMillis shl attempts.coerceAtMost(16)).coerceAtMost(maxBackoffMillis)
        return ceiling / 2 + random.nextLong(ceiling / 2 + 1)
    }

    companion object {
        /** For calls that a caller is waiting for. */
        val BOUNDED = WriteRetryPolicy(maxAttempts = 5)

        /**
         * For claims. A failed claim is not retried, since the node can claim another chunk or try later, but a claim
         * that may have been applied is resolved.
         */
        val CLAIM = WriteRetryPolicy(maxAttempts = 1, maxUncertainAttempts = Int.MAX_VALUE)

        /** For writes that have to survive an outage of any length. */
        val UNTIL_KNOWN = WriteRetryPolicy(maxAttempts = Int.MAX_VALUE)
    }
}

/**
 * Writes objects and resolves lost replies by reading the object back and comparing the writer token in its spec. A
 * write that is retried after a lost reply keeps its token and its expected version, so at most one copy is applied,
 * even if the first one arrives late.
 */
internal class BatchObjectWriter(
    private val store: ObjectStore,
    private val timer: TimerService,
    private val random: Random = Random(1),
) {
    suspend fun create(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        labels: Map<String, String>,
        retry: WriteRetryPolicy,
    ): Result<StoredObject, StoreError> = resolve(kind, name, spec, retry) { store.create(kind, name, spec, labels) }

    suspend fun update(
        current: StoredObject,
        spec: JsonObject,
        labels: Map<String, String>,
        retry: WriteRetryPolicy,
    ): Result<StoredObject, StoreError> = resolve(current.kind, current.name, spec, retry) {
        store.update(current.kind, current.name, current.version, spec, labels)
    }

    private suspend fun resolve(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        retry: WriteRetryPolicy,
        write: suspend () -> Result<StoredObject, StoreError>,
    ): Result<StoredObject, StoreError> {
        var outcomeUnknown = false
        var attempts = 0
        while (true) {
            val error = write().onSuccess { return Ok(it) }.getError() ?: continue
            when (error) {
                is StoreError.OutcomeUnknown -> outcomeUnknown = true
                is StoreError.Unavailable -> Unit
                is StoreError.AlreadyExists, is StoreError.Conflict -> if (!outcomeUnknown) return Err(error)
                is StoreError.NotFound, is StoreError.Rejected -> return Err(error)
            }
            if (outcomeUnknown) {
                val found = store.get(kind, name).get()
                if (found != null && found.writer() == spec.writer()) return Ok(found)
                if (found != null && error.isConflict()) return Err(error)
            }
            if (++attempts >= if (outcomeUnknown) retry.maxUncertainAttempts else retry.maxAttempts) {
                return Err(if (outcomeUnknown) StoreError.OutcomeUnknown("$kind $name: no reply") else error)
            }
            timer.pause(retry.backoffMillis(attempts, random))
        }
    }
}

private fun StoredObject.writer(): String? = spec.writer()

private fun JsonObject.writer(): String? = (get("writer") as? JsonPrimitive)?.contentOrNull
