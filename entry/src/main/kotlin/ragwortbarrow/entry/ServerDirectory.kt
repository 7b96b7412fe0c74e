package ragwortbarrow.entry

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.placement.ServerTracker
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectPage
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.storeJson
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * The backend servers registered with the platform. After an outage of the platform's store the list may lack live
 * servers that have not registered again yet; they are kept until the last failed call to the store, whose age is
 * [millisSinceStoreFailure], is [retentionMillis] old. Without an outage a server that is not listed has left.
 */
class ServerDirectory(
    private val decode: (StoredObject) -> BackendServer?,
    private val tracker: ServerTracker,
    private val timer: TimerService,
    private val log: DecisionLog,
    private val millisSinceStoreFailure: () -> Long? = { null },
    private val retentionMillis: Long = 3_000,
) {
    /** Called with the addresses of all servers after each change. */
    var onServersChanged: (addresses: Set<String>) -> Unit = {}

    /** Called for each entry that a server wrote again without a change. */
    var onHeartbeat: (BackendServer) -> Unit = {}

    /** The time until which a server is kept, and until which it is at most, however often calls to the store fail. */
    private class Kept(val untilMillis: Long, val atMostUntilMillis: Long)

    private val entries = LinkedHashMap<String, StoredObject>()

    /** Servers that the last list lacked. */
    private val kept = HashMap<String, Kept>()

    /**
     * The platform's revision of the newest known change of what entries say; the entries lack no change before it.
     * Heartbeats don't count.
     */
    var revision: Long = 0
        private set

    /** The revision of the last list or snapshot. An entry that it lacked was removed by then, or never existed. */
    private var completeRevision = 0L

    /** The usable entries as sent to peers with an older revision. */
    val snapshot: Snapshot
        get() {
            val nowMillis = timer.monotonicMillis()
            val usable = entries.values.filter { decode(it) != null }
            return Snapshot(revision, JsonArray(usable.map { encode(it, nowMillis) }).toString())
        }

    private fun encode(entry: StoredObject, nowMillis: Long) = buildJsonObject {
        put("name", entry.name)
        put("version", entry.version)
        put("spec", entry.spec)
        kept[entry.name]?.let { put(KEPT_MILLIS, it.untilMillis - nowMillis) }
    }

    /** Replaces all entries by a complete list from the platform, except those that are kept after an outage. */
    fun replaceAll(list: ObjectPage) {
        if (list.listVersion < completeRevision) {
            log.record("backend_servers_outdated", "revision" to revision, "list_revision" to list.listVersion)
            return
        }
        completeRevision = list.listVersion
        val present = list.items.mapTo(HashSet()) { it.name }
        val missing = entries.keys.filter { it !in present && it !in kept }
        val leftMillis = retentionLeftMillis()
        kept.keys.removeAll(present)
        list.items.forEach { put(it) }
        // Peers whose watch missed a removal learn of it from a newer revision.
        val newest = if (missing.isEmpty()) list.items.maxOfOrNull { it.version } ?: 0 else list.listVersion
        // Later pages of a list may hold newer entries, but not all changes between the first page and these.
        revision = maxOf(revision, minOf(newest, list.listVersion))
        if (leftMillis > 0) keep(missing, leftMillis) else entries.keys.removeAll(missing.toSet())
        publish("listed")
        if (missing.isEmpty()) return
        log.record(
            "backend_servers_missing",
            "servers" to missing.joinToString(",", transform = ::loggedName),
            "kept_ms" to leftMillis,
        )
    }

    private fun retentionLeftMillis(): Long =
        millisSinceStoreFailure()?.let { (retentionMillis - it).coerceAtLeast(0) } ?: 0

    private fun keep(names: Collection<String>, millis: Long) {
        if (names.isEmpty()) return
        val nowMillis = timer.monotonicMillis()
        for (name in names) {
            val atMostUntilMillis = kept[name]?.atMostUntilMillis ?: (nowMillis + MAX_RETENTION_MILLIS)
            kept[name] = Kept(minOf(nowMillis + millis, atMostUntilMillis), atMostUntilMillis)
        }
        timer.once(millis) { removeExpired() }
    }

    /** Another outage since then gives servers time again. */
    private fun removeExpired() {
        val nowMillis = timer.monotonicMillis()
        val expired = kept.filterValues { it.untilMillis <= nowMillis }
        if (expired.isEmpty()) return
        val leftMillis = retentionLeftMillis()
        val (extended, removed) = expired.keys.partition {
            leftMillis > 0 && expired.getValue(it).atMostUntilMillis > nowMillis
        }
        keep(extended, leftMillis)
        if (removed.isEmpty()) return
        kept.keys.removeAll(removed.toSet())
        entries.keys.removeAll(removed.toSet())
        publish("removed " + removed.joinToString(",", transform = ::loggedName))
    }

    /** Applies a change, unless it precedes what is known: a watch may deliver it later than a peer's snapshot. */
    fun update(entry: StoredObject) {
        val known = entries[entry.name]?.takeIf { entry.name !in kept }
        if (entry.version <= (known?.version ?: completeRevision)) return
        if (known != null && isHeartbeat(known, entry)) {
            // It is no news for peers, which would fetch the list for each one otherwise.
            entries[entry.name] = entry
            decode(entry)?.let(onHeartbeat)
            return
        }
        kept.remove(entry.name)
        put(entry)
        revision = maxOf(revision, entry.version)
        publish("changed ${loggedName(entry.name)}")
    }

    private fun isHeartbeat(known: StoredObject, entry: StoredObject): Boolean {
        val before = decode(known)
        val now = decode(entry)
        return if (before == null || now == null) before == now else now.isHeartbeatAfter(before)
    }

    fun remove(name: String, atRevision: Long) {
        val known = entries[name] ?: return
        if (known.version > atRevision) return
        kept.remove(name)
        entries.remove(name)
        revision = maxOf(revision, atRevision)
        publish("removed ${loggedName(name)}")
    }

    /**
     * Adopts a peer's list if it is newer, while this node's own watch is behind. A server that either node keeps after
     * an outage stays for the rest of its time, unless this node knows that it has left.
     */
    fun tryApply(snapshot: Snapshot) {
        if (snapshot.revision <= revision) return
        val list = (storeJson.parseToJsonElement(snapshot.document) as JsonArray).map { it as JsonObject }
        val hadEntries = revision > 0
        val before = LinkedHashMap(entries)
        entries.keys.retainAll(kept.keys)
        for (element in list) {
            val entry = decodeSnapshotEntry(element)
            val keptMillis = element[KEPT_MILLIS]?.jsonPrimitive?.longOrNull
            if (keptMillis == null) {
                entries[entry.name] = entry
                kept.remove(entry.name)
            } else if (entry.name !in kept && (entry.name in before || !hadEntries)) {
                entries[entry.name] = entry
                keep(listOf(entry.name), keptMillis.coerceIn(0, retentionMillis))
            }
        }
        // This node may have seen an outage that the peer, which has started since, has not.
        val leftMillis = retentionLeftMillis()
        if (leftMillis > 0) {
            val missing = before.filterKeys { it !in entries }
            entries.putAll(missing)
            keep(missing.keys, leftMillis)
        }
        revision = snapshot.revision
        completeRevision = snapshot.revision
        publish("taken from a peer")
    }

    private fun decodeSnapshotEntry(entry: JsonObject) = StoredObject(
        ObjectKind.BACKEND_SERVERS,
        entry.getValue("name").jsonPrimitive.content,
        entry.getValue("version").jsonPrimitive.longOrNull ?: 0,
        entry.getValue("spec") as JsonObject,
    )

    private fun put(entry: StoredObject) {
        val previous = entries[entry.name]
        if (previous != null && previous.version > entry.version) return
        entries[entry.name] = entry
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
            "kept" to kept.size,
            "entries" to entries.size,
            "usable" to servers.count { !it.isDraining },
        )
    }

    private companion object {
        /** How much longer an entry of a snapshot is kept. */
        const val KEPT_MILLIS = "keptMillis"

        /** Long enough for a store that fails again right after its return. */
        const val MAX_RETENTION_MILLIS = 10_000L
    }
}
