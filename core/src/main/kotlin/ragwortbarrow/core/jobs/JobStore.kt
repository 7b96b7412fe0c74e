package ragwortbarrow.core.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.listAll
import ragwortbarrow.core.store.storeJson

/**
 * Stores batch jobs, their states and their results in the platform's store, whose objects have up to [maxObjectBytes].
 * Lists leave out objects of other writers that cannot be read; [onUnreadable] is called with each of them, once.
 */
class JobStore(
    private val store: ObjectStore,
    private val writer: IdempotentWriter,
    maxObjectBytes: Int = DEFAULT_MAX_OBJECT_BYTES,
    private val onUnreadable: (StoredObject, reason: String?) -> Unit = { _, _ -> },
) {
    private val unreadable = HashSet<Pair<ObjectKind, String>>()

    /** Size of the results in one chunk, in bytes; the rest of an object holds its metadata and its writers. */
    val maxChunkBytes: Int = maxOf(maxObjectBytes - OBJECT_OVERHEAD_BYTES, maxObjectBytes / 2)

    /** Stores [job]; fails with [StoreError.AlreadyExists] if a job with this id already exists. */
    suspend fun create(job: BatchJob): Result<Unit, StoreError> =
        writer.create(ObjectKind.ENTRY_JOBS, job.id, storeJson.encodeToJsonElement(job) as JsonObject).map { }

    suspend fun job(id: String): Result<BatchJob, StoreError> =
        store.get(ObjectKind.ENTRY_JOBS, id).andThen { it.decode<BatchJob>() }

    suspend fun jobs(): Result<List<BatchJob>, StoreError> = store.listAll(ObjectKind.ENTRY_JOBS).map { (objects, _) ->
        objects.mapNotNull { it.decodeOrReport<BatchJob>() }
    }

    /** The states of all jobs that have one, by job id. */
    suspend fun states(): Result<Map<String, JobState>, StoreError> =
        store.listAll(ObjectKind.ENTRY_JOB_STATES).map { (objects, _) ->
            val states = objects.associate { it.name to it.decodeOrReport<JobState>() }
            buildMap { states.forEach { (name, state) -> if (state != null) put(name, state) } }
        }

    /** The state of a job that was listed or watched; null if it is unreadable. */
    fun decodeState(stored: StoredObject): JobState? = stored.decodeOrReport<JobState>()

    /** The state of a job; the default state if it was never taken over, cancelled or finished. */
    suspend fun state(id: String): Result<JobState, StoreError> = storedState(id).andThen { it.decodeState() }

    /**
     * Atomically updates the state of a job with [change], retrying after conflicts. Returns the current state, which
     * may already be a later one than [change] returned if the reply to the write was lost.
     */
    suspend fun updateState(id: String, change: (JobState) -> JobState?): Result<JobState, StoreError> {
        var failure: StoreError = StoreError.Conflict("concurrent updates of the state of job $id")
        repeat(MAX_ATTEMPTS) {
            val current = storedState(id).getOrElse { return Err(it) }
            val before = current.decodeState().getOrElse { return Err(it) }
            val after = change(before) ?: return Ok(before)
            if (after == before) return Ok(before)
            val spec = storeJson.encodeToJsonElement(after) as JsonObject
            val written = if (current == null) {
                writer.create(ObjectKind.ENTRY_JOB_STATES, id, spec)
            } else {
                writer.update(current, spec)
            }
            written.fold({ return it.decodeState() }, { failure = it })
            if (failure !is StoreError.Conflict && failure !is StoreError.AlreadyExists) return Err(failure)
        }
        return Err(failure)
    }

    /** Stores [chunk] under [number]; fails with [StoreError.AlreadyExists] if another node stored that number. */
    suspend fun appendResults(id: String, number: Int, chunk: ResultChunk): Result<Unit, StoreError> = writer.create(
        ObjectKind.ENTRY_RESULTS,
        chunkName(id, number),
        storeJson.encodeToJsonElement(chunk) as JsonObject,
    )
        .map { }

    /** Adds the stored chunks of a job that are missing in [log]. */
    suspend fun readResults(id: String, log: ResultLog): Result<Unit, StoreError> {
        while (!log.isComplete) {
            val number = log.nextChunkNumber
            val chunk = store.get(ObjectKind.ENTRY_RESULTS, chunkName(id, number)).getOrElse {
                return if (it is StoreError.NotFound) Ok(Unit) else Err(it)
            }
            log.add(number, chunk.decode<ResultChunk>().getOrElse { return Err(it) })
        }
        return Ok(Unit)
    }

    private suspend fun storedState(id: String): Result<StoredObject?, StoreError> =
        store.get(ObjectKind.ENTRY_JOB_STATES, id).fold(
            { Ok(it) },
            { if (it is StoreError.NotFound) Ok(null) else Err(it) },
        )

    private fun StoredObject?.decodeState(): Result<JobState, StoreError> = this?.decode<JobState>() ?: Ok(JobState())

    private inline fun <reified T> StoredObject.decode(): Result<T, StoreError> = try {
        Ok(storeJson.decodeFromJsonElement<T>(spec))
    } catch (malformed: SerializationException) {
        Err(StoreError.Rejected("the object is not readable: ${malformed.message?.take(MAX_REASON_LENGTH)}"))
    }

    private inline fun <reified T> StoredObject.decodeOrReport(): T? = decode<T>().getOrElse {
        if (unreadable.add(kind to name)) onUnreadable(this, it.message)
        null
    }

    private fun chunkName(id: String, number: Int) = "$id.$number"

    companion object {
        /** Objects of a platform that names no limit have up to 1 MiB. */
        const val DEFAULT_MAX_OBJECT_BYTES = 1024 * 1024

        private const val OBJECT_OVERHEAD_BYTES = 16 * 1024

        /** Up to three nodes update a state concurrently: the holder, one that cancels and one that takes over. */
        private const val MAX_ATTEMPTS = 6

        /** Messages of the decoder quote the object. */
        private const val MAX_REASON_LENGTH = 100
    }
}
