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
 * How long a write is tried: [maxTries] while the platform certainly did not take it, [maxUncertainTries] once a reply
 * was lost.
 */
internal data class RetryPolicy(
    val maxTries: Int,
    val maxUncertainTries: Int = maxTries,
    val firstPauseMillis: Long = 50,
    val maxPauseMillis: Long = 5_000,
) {
    fun pauseMillis(tries: Int, random: Random): Long {
        val ceiling = (firstPauseMillis shl tries.coerceAtMost(16)).coerceAtMost(maxPauseMillis)
        return ceiling / 2 + random.nextLong(ceiling / 2 + 1)
    }

    companion object {
        /** For calls that somebody waits for. */
        val BOUNDED = RetryPolicy(maxTries = 5)

        /** For claims: another chunk or a later pass does as well, but a claim that may have landed is settled. */
        val CLAIM = RetryPolicy(maxTries = 1, maxUncertainTries = Int.MAX_VALUE)

        /** For work that has to survive an outage of any length. */
        val UNTIL_KNOWN = RetryPolicy(maxTries = Int.MAX_VALUE)
    }
}

/**
 * Writes whose lost replies are resolved by reading the object back and comparing the writer token in its spec. A write
 * that is repeated after a lost reply keeps its token and its expected version, so at most one copy takes effect, also
 * when the first one arrives late.
 */
internal class ResolvedWrites(
    private val store: ObjectStore,
    private val timer: TimerService,
    private val random: Random = Random(1),
) {
    suspend fun create(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        labels: Map<String, String>,
        retry: RetryPolicy,
    ): Result<StoredObject, StoreError> = resolve(kind, name, spec, retry) { store.create(kind, name, spec, labels) }

    suspend fun update(
        current: StoredObject,
        spec: JsonObject,
        labels: Map<String, String>,
        retry: RetryPolicy,
    ): Result<StoredObject, StoreError> = resolve(current.kind, current.name, spec, retry) {
        store.update(current.kind, current.name, current.version, spec, labels)
    }

    private suspend fun resolve(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        retry: RetryPolicy,
        write: suspend () -> Result<StoredObject, StoreError>,
    ): Result<StoredObject, StoreError> {
        var uncertain = false
        var tries = 0
        while (true) {
            val error = write().onSuccess { return Ok(it) }.getError() ?: continue
            when (error) {
                is StoreError.OutcomeUnknown -> uncertain = true
                is StoreError.Unavailable -> Unit
                is StoreError.AlreadyExists, is StoreError.Conflict -> if (!uncertain) return Err(error)
                is StoreError.NotFound, is StoreError.Rejected -> return Err(error)
            }
            if (uncertain) {
                val found = store.get(kind, name).get()
                if (found != null && found.writer() == spec.writer()) return Ok(found)
                if (found != null && error.isRace()) return Err(error)
            }
            if (++tries >= if (uncertain) retry.maxUncertainTries else retry.maxTries) {
                return Err(if (uncertain) StoreError.OutcomeUnknown("$kind $name: no reply") else error)
            }
            timer.pause(retry.pauseMillis(tries, random))
        }
    }
}

private fun StoredObject.writer(): String? = spec.writer()

private fun JsonObject.writer(): String? = (get("writer") as? JsonPrimitive)?.contentOrNull
