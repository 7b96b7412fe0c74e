package ragwortbarrow.entry

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.http.socketAddressOrNull

/** The object under which an entry node is registered with the platform. */
internal fun encodeEntryNode(node: FleetNode) = JsonObject(
    mapOf(
        "address" to JsonPrimitive(node.address),
        "incarnation" to JsonPrimitive(node.incarnation),
        "failureDomain" to JsonPrimitive(node.failureDomain.value),
        "capacityMillis" to JsonPrimitive(node.capacityMillicores),
    ),
)

/** Decodes the result of [encodeEntryNode]; null if another writer has stored something else. */
internal fun decodeEntryNode(stored: StoredObject): FleetNode? {
    val spec = stored.spec
    return FleetNode(
        VmId(stored.name),
        address = spec["address"].content()?.takeIf { socketAddressOrNull(it) != null } ?: return null,
        incarnation = (spec["incarnation"] as? JsonPrimitive)?.longOrNull ?: return null,
        failureDomain = FailureDomainId(spec["failureDomain"]?.let { it.content() ?: return null }.orEmpty()),
        capacityMillicores = (spec["capacityMillis"] as? JsonPrimitive)?.intOrNull ?: 0,
    )
}

private fun JsonElement?.content(): String? = (this as? JsonPrimitive)?.content
