package ragwortbarrow.standins.platform

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import ragwortbarrow.core.store.storeJson

/** An entry of the platform's VM list; the JSON form is the body of `PUT /dev/vms/{name}`. */
@Serializable
data class VmRecord(
    val failureDomain: String,
    val peerAddress: String = "",
    val httpAddress: String = "",
    val leaving: Boolean = false,
) {
    internal fun toSpec(): JsonObject = storeJson.encodeToJsonElement(this).jsonObject
}
