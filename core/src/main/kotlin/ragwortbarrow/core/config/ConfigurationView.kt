package ragwortbarrow.core.config

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.Service

/** Gives the configuration in force and tells subscribers of each new one. */
interface ConfigurationView {
    /** The configuration in force, or null before the first one. Reading it takes no lock. */
    val current: ConfigurationSnapshot?

    /** Calls [listener] with each configuration after it is in force, and at once with the present one. */
    fun subscribe(listener: (ConfigurationSnapshot) -> Unit)
}

/** One immutable configuration with the indexes that a request's path needs. */
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

    /** The service with the longest path prefix that [path] starts with. */
    fun findService(path: String): Service? = servicesByLength.firstOrNull { service ->
        path == service.pathPrefix || path.startsWith(service.pathPrefix.trimEnd('/') + "/")
    }
}
