package ragwortbarrow.core.traffic

/** An immutable version of the configuration, indexed for lookups. */
class RoutingTable(
    val version: Long,
    val routes: List<Route>,
    val customers: List<CustomerAccount>,
    val limits: CallerLimits,
    services: List<ServiceSettings> = emptyList(),
) {
    private val routesByHost = routes.groupBy { it.host }
        .mapValues { (_, ofHost) -> ofHost.sortedByDescending { it.pathPrefix.length } }
    private val servicesByName = services.associateBy { it.name }
    private val customersByKey = customers.flatMap { customer -> customer.keys.map { it to customer } }.toMap()

    /** Whether requests need an API key, unless their route is public. */
    val requiresKeys: Boolean get() = customers.isNotEmpty()

    /** The route of [host] with the longest path prefix that matches [path]. */
    fun route(host: String, path: String): Route? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The settings of the service [name]; those of a service that names none if it is not listed. */
    fun service(name: String): ServiceSettings = servicesByName[name] ?: ServiceSettings(name)

    fun customer(key: String): CustomerAccount? = customersByKey[key]
}
