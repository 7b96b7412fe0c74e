package ragwortbarrow.core.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filter
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.json.JsonObject
import java.util.TreeMap
import java.util.concurrent.atomic.AtomicLong

/**
 * An in-memory object store with the semantics of the platform: one version counter for all kinds, conditional updates,
 * a size limit for values, and watches that deliver every change after a version.
 *
 * Tests use it directly with [StoreFaultInjector]; the simulated platform serves it over HTTP.
 */
class InMemoryObjectStore(
    private val faults: StoreFaultInjector = StoreFaultInjector.NONE,
    private val maxValueBytes: Int = 1_000_000,
    private val historyLimit: Int = 100_000,
) : ObjectStore {
    private val objects = ObjectKind.entries.associateWith { TreeMap<String, StoredObject>() }
    private val history = ArrayDeque<Pair<ObjectKind, WatchEvent>>()
    private var historyStartVersion = 0L
    private val version = MutableStateFlow(0L)
    private val callCount = AtomicLong()

    /** Number of calls so far, including failed ones. */
    val calls: Long get() = callCount.get()

    override suspend fun get(kind: ObjectKind, name: String): Result<StoredObject, StoreError> =
        call(StoreOperation.READ, kind, name) {
            objects.getValue(kind)[name]?.let { Ok(it) } ?: Err(StoreError.NotFound("$kind $name does not exist"))
        }

    override suspend fun list(
        kind: ObjectKind,
        labels: Map<String, String>,
        limit: Int,
        continueToken: String?,
        metadataOnly: Boolean,
    ): Result<ObjectPage, StoreError> = call(StoreOperation.READ, kind, "*") {
        val remaining = objects.getValue(kind)
            .let { if (continueToken == null) it else it.tailMap(continueToken, false) }
        val matching = remaining.values.filter { stored -> labels.all { (key, value) -> stored.labels[key] == value } }
        val page = matching.take(limit).map { if (metadataOnly) it.withoutSpec() else it }
        Ok(ObjectPage(page, version.value, page.lastOrNull()?.name?.takeIf { matching.size > limit }))
    }

    override suspend fun create(
        kind: ObjectKind,
        name: String,
        spec: JsonObject,
        labels: Map<String, String>,
    ): Result<StoredObject, StoreError> = call(StoreOperation.WRITE, kind, name) {
        when {
            name in objects.getValue(kind) -> Err(StoreError.AlreadyExists("$kind $name exists"))
            spec.isTooLarge() -> Err(tooLarge(kind, name))
            else -> Ok(put(kind, name, spec, labels))
        }
    }

    override suspend fun update(
        kind: ObjectKind,
        name: String,
        expectedVersion: Long,
        spec: JsonObject,
        labels: Map<String, String>,
    ): Result<StoredObject, StoreError> = call(StoreOperation.WRITE, kind, name) {
        val current = objects.getValue(kind)[name]
        when {
            current == null -> Err(StoreError.NotFound("$kind $name does not exist"))
            current.version != expectedVersion -> Err(conflict(current, expectedVersion))
            spec.isTooLarge() -> Err(tooLarge(kind, name))
            else -> Ok(put(kind, name, spec, labels))
        }
    }

    override suspend fun delete(kind: ObjectKind, name: String, expectedVersion: Long): Result<Unit, StoreError> =
        call(StoreOperation.WRITE, kind, name) {
            val current = objects.getValue(kind)[name]
            when {
                current == null -> Err(StoreError.NotFound("$kind $name does not exist"))
                current.version != expectedVersion -> Err(conflict(current, expectedVersion))
                else -> {
                    objects.getValue(kind).remove(name)
                    appendEvent(kind, WatchEvent.Deleted(name, version.value + 1))
                    Ok(Unit)
                }
            }
        }

    override fun watch(kind: ObjectKind, fromVersion: Long, metadataOnly: Boolean): Flow<WatchEvent> = flow {
        callCount.incrementAndGet()
        var seen = fromVersion
        while (true) {
            if (faults.faultFor(StoreOperation.WATCH, kind, "*") != StoreFault.None) {
                throw WatchFailedException("the platform is unavailable")
            }
            val (events, reached) = changesAfter(kind, seen)
            seen = reached
            events.forEach { emit(if (metadataOnly) it.withoutSpec() else it) }
            if (events.isEmpty()) emit(WatchEvent.Bookmark(seen))
            version.filter { it > seen }.first()
        }
    }

    /** Creates or replaces an object unconditionally; for tests and the VM list of the simulated platform. */
    @Synchronized
    fun put(kind: ObjectKind, name: String, spec: JsonObject, labels: Map<String, String> = emptyMap()): StoredObject {
        val stored = StoredObject(kind, name, version.value + 1, spec, labels)
        objects.getValue(kind)[name] = stored
        appendEvent(kind, WatchEvent.Changed(stored))
        return stored
    }

    /** Returns a store with the current objects, without injected faults and without the history for watches. */
    @Synchronized
    fun copy(): InMemoryObjectStore {
        val copy = InMemoryObjectStore(maxValueBytes = maxValueBytes, historyLimit = historyLimit)
        objects.forEach { (kind, byName) -> copy.objects.getValue(kind).putAll(byName) }
        copy.version.value = version.value
        copy.historyStartVersion = version.value
        return copy
    }

    private suspend fun <T> call(
        operation: StoreOperation,
        kind: ObjectKind,
        name: String,
        body: () -> Result<T, StoreError>,
    ): Result<T, StoreError> {
        callCount.incrementAndGet()
        return when (faults.faultFor(operation, kind, name)) {
            StoreFault.None -> runLocked(body)
            StoreFault.Unavailable -> Err(StoreError.Unavailable("the platform is unavailable"))
            StoreFault.ReplyLost -> {
                runLocked(body)
                Err(StoreError.OutcomeUnknown("the reply was lost"))
            }
        }
    }

    @Synchronized
    private fun <T> runLocked(body: () -> Result<T, StoreError>): Result<T, StoreError> = body()

    @Synchronized
    private fun changesAfter(kind: ObjectKind, seen: Long): Pair<List<WatchEvent>, Long> {
        if (seen < historyStartVersion) throw WatchFailedException("version $seen is too old", versionTooOld = true)
        val events = history.filter { (eventKind, event) -> eventKind == kind && event.resourceVersion() > seen }
        return events.map { it.second } to version.value
    }

    @Synchronized
    private fun appendEvent(kind: ObjectKind, event: WatchEvent) {
        history.addLast(kind to event)
        if (history.size > historyLimit) historyStartVersion = history.removeFirst().second.resourceVersion()
        version.value = event.resourceVersion()
    }

    private fun JsonObject.isTooLarge() = toString().length > maxValueBytes

    private fun tooLarge(kind: ObjectKind, name: String) =
        StoreError.Rejected("$kind $name is over $maxValueBytes bytes")

    private fun conflict(current: StoredObject, expectedVersion: Long) = StoreError.Conflict(
        "${current.kind} ${current.name} has version ${current.version}, not $expectedVersion",
    )
}

/** The version of the store after this event. */
fun WatchEvent.resourceVersion(): Long = when (this) {
    is WatchEvent.Changed -> stored.version
    is WatchEvent.Deleted -> version
    is WatchEvent.Bookmark -> version
}

private val emptySpec = JsonObject(emptyMap())

private fun StoredObject.withoutSpec() = copy(spec = emptySpec)

private fun WatchEvent.withoutSpec() = if (this is WatchEvent.Changed) copy(stored = stored.withoutSpec()) else this
