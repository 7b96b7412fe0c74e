package ragwortbarrow.entry

import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.traffic.RoutingTable
import java.util.concurrent.atomic.AtomicReference

/** The configuration in force. Its version only grows, whoever brings the next one. */
class ConfigurationHolder(private val decode: (String) -> RoutingTable, private val log: DecisionLog) {
    private val current = AtomicReference<Pair<RoutingTable, String>?>()

    val table: RoutingTable? get() = current.get()?.first

    val version: Long get() = table?.version ?: 0

    /** What peers get that are behind. */
    val snapshot: Snapshot get() = current.get()?.let { Snapshot(it.first.version, it.second) } ?: Snapshot(0, "")

    /** Puts [document] in force if it is newer than the one that is. */
    fun offer(document: String, source: String) {
        val offered = try {
            decode(document)
        } catch (failure: IllegalArgumentException) {
            log.record("configuration_rejected", "source" to source, "reason" to failure.message)
            return
        }
        val before = current.get()
        if (before != null && offered.version <= before.first.version) return
        current.set(offered to document)
        log.record(
            "configuration_in_force",
            "version" to offered.version,
            "before" to before?.first?.version,
            "source" to source,
            "routes" to offered.routes.size,
            "customers" to offered.customers.size,
        )
    }
}
