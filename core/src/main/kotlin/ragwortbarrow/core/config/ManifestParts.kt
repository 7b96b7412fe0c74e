package ragwortbarrow.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.apache.commons.codec.digest.MurmurHash3
import ragwortbarrow.core.keys.sha256Hex
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.Model
import ragwortbarrow.core.manifest.Service

/**
 * A manifest split into content-addressed parts: one part with the fleet, models and services, and the customers and
 * backend servers distributed over further parts by a hash of their id. Changing one customer changes one part.
 *
 * The keys and batch jobs of a manifest are not included: keys are stored as objects of their own, so that they can be
 * withdrawn without a new configuration, and batch jobs are submitted once.
 */
data class ManifestParts(val refs: List<ConfigurationPartRef>, val parts: Map<String, ConfigurationPart>)

const val CUSTOMER_PART_COUNT: Int = 64
const val BACKEND_SERVER_PART_COUNT: Int = 128

@Serializable
private data class FleetPart(
    val name: String,
    val fleet: Fleet,
    val models: List<Model> = emptyList(),
    val services: List<Service> = emptyList(),
)

@Serializable
private data class CustomersPart(val customers: List<Customer>)

@Serializable
private data class BackendServersPart(val backendServers: List<BackendServer>)

private val partJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

private const val FLEET_PART = "fleet"
private const val CUSTOMERS_PREFIX = "customers-"
private const val BACKEND_SERVERS_PREFIX = "backendservers-"

/** Splits this manifest into parts; the order of its lists does not affect the result. */
fun Manifest.splitIntoParts(
    customerParts: Int = CUSTOMER_PART_COUNT,
    backendServerParts: Int = BACKEND_SERVER_PART_COUNT,
): ManifestParts {
    val texts = sortedMapOf(FLEET_PART to partJson.encodeToString(FleetPart(name, fleet, models, services)))
    customers.sortedBy { it.id.value }
        .groupBy { partName(CUSTOMERS_PREFIX, it.id.value, customerParts) }
        .mapValuesTo(texts) { (_, customers) -> partJson.encodeToString(CustomersPart(customers)) }
    backendServers.sortedBy { it.id.value }
        .groupBy { partName(BACKEND_SERVERS_PREFIX, it.id.value, backendServerParts) }
        .mapValuesTo(texts) { (_, servers) -> partJson.encodeToString(BackendServersPart(servers)) }
    val parts = texts.mapValues { (_, text) -> ConfigurationPart(sha256Hex(text), text) }
    return ManifestParts(
        refs = parts.map { (name, part) -> ConfigurationPartRef(name, part.sha256) },
        parts = parts.values.associateBy { it.sha256 },
    )
}

/** Joins the parts of [head], looked up by digest with [partOf]; the error names the missing or malformed part. */
fun joinParts(head: ConfigurationHead, partOf: (String) -> ConfigurationPart?): Result<Manifest, String> {
    var fleet: FleetPart? = null
    val customers = mutableListOf<Customer>()
    val backendServers = mutableListOf<BackendServer>()
    for (ref in head.parts) {
        val part = partOf(ref.sha256) ?: return Err("part ${ref.name} with digest ${ref.sha256} is missing")
        try {
            when {
                ref.name == FLEET_PART -> fleet = partJson.decodeFromString<FleetPart>(part.json)
                ref.name.startsWith(CUSTOMERS_PREFIX) ->
                    customers += partJson.decodeFromString<CustomersPart>(part.json).customers
                ref.name.startsWith(BACKEND_SERVERS_PREFIX) ->
                    backendServers += partJson.decodeFromString<BackendServersPart>(part.json).backendServers
                else -> return Err("part ${ref.name} has an unknown type")
            }
        } catch (failure: SerializationException) {
            return Err("part ${ref.name} is malformed: ${failure.message}")
        }
    }
    val found = fleet ?: return Err("the configuration has no part '$FLEET_PART'")
    return Ok(
        Manifest(
            name = found.name,
            fleet = found.fleet,
            models = found.models,
            services = found.services,
            customers = customers.sortedBy { it.id.value },
            backendServers = backendServers.sortedBy { it.id.value },
        ),
    )
}

/** Whether [ConfigurationPart.sha256] is the digest of the content. */
fun ConfigurationPart.hasValidDigest(): Boolean = sha256Hex(json) == sha256

private fun partName(prefix: String, id: String, count: Int): String {
    val bytes = id.toByteArray()
    val index = Integer.remainderUnsigned(MurmurHash3.hash32x86(bytes, 0, bytes.size, 0), count)
    return prefix + index.toString().padStart(count.toString().length, '0')
}
