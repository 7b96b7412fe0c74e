package ragwortbarrow.core.config

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.Service

/** Read access to the active configuration, with notification of changes. */
interface ConfigurationView {
    /** The active configuration, or null before the first one is applied. Reading it takes no lock. */
    val current: ConfigurationSnapshot?

    /** Calls [listener] immediately with the active configuration, if any, and then after each change. */
    fun subscribe(listener: (ConfigurationSnapshot) -> Unit)
}

/** One immutable configuration with the indexes that request handling needs. */
class ConfigurationSnapshot(val version: Long, val manifest: Manifest) {
    val customers: Map<CustomerId, Customer> = manifest.customers.associateBy { it.id }
    val backendServers: Map<BackendServerId, BackendServer> = manifest.backendServers.associateBy { it.id }
    val serversByModel: Map<String, List<BackendServer>> = manifest.backendServers
        .flatMap { server -> server.models.map { it to server } }
        .groupBy({ it.first }, { it.second })
    val serversByService: Map<String, List<BackendServer>> = manifest.backendServers
        .filter { it.service != null }
        .groupBy { checkNotNull(it.service) }
    private val servicesByLength: List<Service> = manifest.services.sortedByDescending { it.pathPrefix.length }

    /** Returns the service whose path prefix is the longest match for [path]. */
    fun findService(path: String): Service? = servicesByLength.firstOrNull { service ->
        path == service.pathPrefix || path.startsWith(service.pathPrefix.trimEnd('/') + "/")
    }
}
