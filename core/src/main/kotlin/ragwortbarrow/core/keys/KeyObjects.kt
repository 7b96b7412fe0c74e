package ragwortbarrow.core.keys

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.storeJson

/** Converts grants to and from platform objects; a tombstone object holds only its name and the writer token. */
object KeyObjects {
    fun grantOf(stored: StoredObject): KeyGrant = storeJson.decodeFromJsonElement(stored.spec)

    fun specOf(grant: KeyGrant): JsonObject = storeJson.encodeToJsonElement(grant).jsonObject

    val tombstoneSpec: JsonObject = JsonObject(emptyMap())
}
