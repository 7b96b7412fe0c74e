package ragwortbarrow.core.config

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.storeJson

/** Converts configuration records to and from the platform objects that store them. */
object ConfigurationObjects {
    /** Name of the only object of kind `configurations`. */
    const val HEAD: String = "head"

    fun headOf(stored: StoredObject): ConfigurationHead = storeJson.decodeFromJsonElement(stored.spec)

    fun specOf(head: ConfigurationHead): JsonObject = storeJson.encodeToJsonElement(head).jsonObject

    fun partOf(stored: StoredObject): ConfigurationPart =
        ConfigurationPart(stored.name, (stored.spec["json"] as? JsonPrimitive)?.contentOrNull.orEmpty())

    fun specOf(part: ConfigurationPart): JsonObject = JsonObject(mapOf("json" to JsonPrimitive(part.json)))
}
