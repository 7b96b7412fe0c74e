package ragwortbarrow.core.membership

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.storeJson

/**
 * The spec of a `vmleases` object, whose name is the VM id. The lease has expired if the object has not changed for
 * [termMillis] on the reader's clock. A VM that stops gracefully deletes its object.
 */
@Serializable
data class VmLease(
    val incarnation: Long,
    val failureDomain: FailureDomainId,
    val peerAddress: String,
    val httpAddress: String,
    val termMillis: Long,
    val renewal: Long = 0,
    val appliedVersion: Long = 0,
    val rejectedVersion: Long = 0,
    val rejectedReason: String = "",
) {
    fun toSpec(): JsonObject = storeJson.encodeToJsonElement(this).jsonObject

    companion object {
        fun of(stored: StoredObject): VmLease = storeJson.decodeFromJsonElement(stored.spec)

        fun vmOf(stored: StoredObject): VmId = VmId(stored.name)
    }
}
