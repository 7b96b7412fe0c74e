package ragwortbarrow.entry

import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.log.record
import ragwortbarrow.core.traffic.RoutingTable
import ragwortbarrow.core.traffic.ServiceSettings
import java.util.concurrent.atomic.AtomicReference

/** The active configuration. Its version never decreases, whichever source supplies the next one. */
class ConfigurationHolder(private val decode: (String) -> RoutingTable, private val log: DecisionLog) {
    private val current = AtomicReference<Pair<RoutingTable, String>?>()

    val table: RoutingTable? get() = current.get()?.first

    /** The settings of the service [name]; those of a service that names none while there is no configuration. */
    fun service(name: String): ServiceSettings = table?.service(name) ?: ServiceSettings(name)

    val version: Long get() = table?.version ?: 0

    /** The active configuration as sent to peers with an older version. */
    val snapshot: Snapshot get() = current.get()?.let { Snapshot(it.first.version, it.second) } ?: Snapshot(0, "")

    /** Activates [document] if its version is newer than the active one; rejects it if it is invalid. */
    fun tryApply(document: String, source: String) {
        val candidate = try {
            decode(document)
        } catch (failure: IllegalArgumentException) {
            log.record("configuration_rejected", "source" to source, "reason" to failure.message)
            return
        }
        val previous = current.get()
        if (previous != null && candidate.version <= previous.first.version) return
        current.set(candidate to document)
        log.record(
            "configuration_in_force",
            "version" to candidate.version,
            "before" to previous?.first?.version,
            "source" to source,
            "routes" to candidate.routes.size,
            "customers" to candidate.customers.size,
        )
    }
}
