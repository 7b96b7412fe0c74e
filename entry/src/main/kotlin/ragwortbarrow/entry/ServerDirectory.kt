package ragwortbarrow.entry

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.storeJson
import ragwortbarrow.core.time.TimerService

/**
 * The backend servers registered with the platform. After a platform outage the list may lack live servers that have
 * not registered again yet; they are kept for [retentionMillis].
 */
class ServerDirectory(
    private val decode: (StoredObject) -> BackendServer?,
    private val tracker: ServerTracker,
    private val timer: TimerService,
    private val log: DecisionLog,
    private val retentionMillis: Long = 2_200,
) {
    /** Called with the addresses of all servers after each change. */
    var onServersChanged: (addresses: Set<String>) -> Unit = {}

    private val entries = LinkedHashMap<String, StoredObject>()
    private var listingCount = 0

    /** The platform's revision of the newest known change. */
    var revision: Long = 0
        private set

    /** The usable entries as sent to peers with an older revision. */
    val snapshot: Snapshot
        get() = Snapshot(
            revision,
            JsonArray(
                entries.values.filter { decode(it) != null }.map {
                    JsonObject(
                        mapOf(
                            "name" to JsonPrimitive(it.name),
                            "version" to JsonPrimitive(it.version),
                            "spec" to it.spec,
                        ),
                    )
                },
            ).toString(),
        )

    /** Replaces all entries by a complete list from the platform; missing servers are removed after a delay. */
    fun replaceAll(objects: List<StoredObject>) {
        val listing = ++listingCount
        val present = objects.mapTo(HashSet()) { it.name }
        val missing = entries.keys.filter { it !in present }
        objects.forEach { put(it) }
        publish("listed")
        if (missing.isEmpty()) return
        timer.once(retentionMillis) {
            if (listing == listingCount) missing.filter { entries[it]?.version == 0L }.forEach { remove(it, revision) }
        }
        for (name in missing) entries.computeIfPresent(name) { _, entry -> entry.copy(version = 0L) }
        log.record(
            "backend_servers_missing",
            "servers" to missing.joinToString(",", transform = ::loggedName),
            "kept_ms" to retentionMillis,
        )
    }

    fun update(entry: StoredObject) {
        put(entry)
        publish("changed ${loggedName(entry.name)}")
    }

    fun remove(name: String, atRevision: Long) {
        if (entries.remove(name) == null) return
        revision = maxOf(revision, atRevision)
        publish("removed ${loggedName(name)}")
    }

    /** Adopts a peer's list if it is newer, while this node's own watch is behind. */
    fun tryApply(snapshot: Snapshot) {
        if (snapshot.revision <= revision) return
        val list = storeJson.parseToJsonElement(snapshot.document) as JsonArray
        entries.clear()
        for (element in list) {
            val entry = element as JsonObject
            val name = entry.getValue("name").jsonPrimitive.content
            val version = entry.getValue("version").jsonPrimitive.longOrNull ?: 0
            entries[name] =
                StoredObject(ObjectKind.BACKEND_SERVERS, name, version, entry.getValue("spec") as JsonObject)
        }
        revision = snapshot.revision
        publish("taken from a peer")
    }

    private fun put(entry: StoredObject) {
        val previous = entries[entry.name]
        if (previous != null && previous.version > entry.version) return
        entries[entry.name] = entry
        revision = maxOf(revision, entry.version)
        if (decode(entry) == null && (previous == null || decode(previous) != null)) {
            log.record("backend_server_unusable", "server" to loggedName(entry.name), "revision" to entry.version)
        }
    }

    private fun publish(reason: String) {
        val servers = entries.values.mapNotNull(decode)
        tracker.replace(servers)
        onServersChanged(servers.mapTo(HashSet()) { it.address })
        log.record(
            "backend_servers",
            "reason" to reason,
            "revision" to revision,
            "entries" to entries.size,
            "usable" to servers.count { !it.isDraining },
        )
    }
}
