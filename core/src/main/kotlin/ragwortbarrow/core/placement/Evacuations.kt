package ragwortbarrow.core.placement

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.store.ObjectPage
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.storeJson

/**
 * The failure domains that the operators evacuate: their servers get no new requests until the evacuation is taken
 * back. Known from the platform's store or from peers, whichever is first, and kept while neither can be reached.
 * Confined to one thread.
 */
class Evacuations(private val decode: (StoredObject) -> FailureDomainId?, private val log: DecisionLog) {
    /** The revisions of the entries of evacuated domains. */
    private val revisions = LinkedHashMap<FailureDomainId, Long>()

    /** Revision of the last list or snapshot. An evacuation that it lacked has ended by then, or never began. */
    private var completeRevision = 0L

    /** Platform revision of the last known change, which peers compare with theirs; 0 if none is known. */
    var revision = 0L
        private set

    /** Revision up to which all changes are known. */
    val knownRevision: Long get() = maxOf(revision, completeRevision)

    val domains: Set<FailureDomainId> get() = revisions.keys.toSet()

    /** Called with the evacuated domains after each change. */
    var onChanged: (domains: Set<FailureDomainId>) -> Unit = {}

    /** Called before [onChanged] with a domain whose evacuation was taken back by [revision]. */
    var onEnded: (domain: FailureDomainId, revision: Long) -> Unit = { _, _ -> }

    /** The evacuations as sent to peers that know less. */
    val snapshot: Snapshot
        get() {
            val entries = revisions.map { (domain, revision) ->
                buildJsonObject {
                    put(DOMAIN, domain.value)
                    put(REVISION, revision)
                }
            }
            return Snapshot(revision, JsonArray(entries).toString())
        }

    /** Replaces all entries by a complete list from the platform, unless it is older than what is known. */
    fun replaceAll(list: ObjectPage) {
        if (list.listVersion < completeRevision) return
        completeRevision = list.listVersion
        val listed = list.items.mapNotNull { item -> readable(item)?.let { it to item.version } }.toMap()
        val ended = revisions.filter { (domain, revision) -> domain !in listed && revision <= list.listVersion }.keys
        revision = maxOf(revision, listed.values.maxOrNull() ?: 0, if (ended.isEmpty()) 0 else list.listVersion)
        change(listed, ended, "store", list.listVersion)
    }

    /** Applies a change, unless it precedes what is known. */
    fun update(entry: StoredObject) {
        val domain = readable(entry) ?: return
        if (entry.version <= (revisions[domain] ?: completeRevision)) return
        revision = maxOf(revision, entry.version)
        change(mapOf(domain to entry.version), ended = emptySet(), "store", entry.version)
    }

    fun remove(name: String, atRevision: Long) {
        val domain = FailureDomainId(name)
        val known = revisions[domain] ?: return
        if (known > atRevision) return
        revision = maxOf(revision, atRevision)
        change(emptyMap(), ended = setOf(domain), "store", atRevision)
    }

    /** Adopts what a peer knows if it is newer. */
    fun tryApply(snapshot: Snapshot, source: String) {
        if (snapshot.revision <= knownRevision) return
        val reported = (storeJson.parseToJsonElement(snapshot.document) as JsonArray).map {
            it as JsonObject
        }.associate {
            FailureDomainId(it.getValue(DOMAIN).jsonPrimitive.content) to it.getValue(REVISION).jsonPrimitive.long
        }
        revision = snapshot.revision
        completeRevision = snapshot.revision
        change(reported, ended = revisions.keys - reported.keys, source, snapshot.revision)
    }

    /**
     * Notes that a peer's last change is [peerRevision]. If this node has read a newer list without noticing a change,
     * the peer may have missed one, and learns of it from a newer revision.
     */
    fun notePeer(peerRevision: Long) {
        if (peerRevision in revision + 1..completeRevision) revision = completeRevision
    }

    private fun readable(entry: StoredObject): FailureDomainId? = decode(entry).also {
        if (it == null) log.record("evacuation_unreadable", "revision" to entry.version)
    }

    private fun change(
        present: Map<FailureDomainId, Long>,
        ended: Set<FailureDomainId>,
        source: String,
        atRevision: Long,
    ) {
        val begun = present.keys - revisions.keys
        revisions += present
        revisions -= ended
        for (domain in begun) log(domain, "evacuation_begun", source, atRevision)
        for (domain in ended) {
            log(domain, "evacuation_ended", source, atRevision)
            onEnded(domain, atRevision)
        }
        if (begun.isNotEmpty() || ended.isNotEmpty()) onChanged(domains)
    }

    private fun log(domain: FailureDomainId, event: String, source: String, revision: Long) =
        log.record(event, "domain" to domain, "revision" to revision, "source" to source)

    private companion object {
        const val DOMAIN = "domain"
        const val REVISION = "revision"
    }
}
