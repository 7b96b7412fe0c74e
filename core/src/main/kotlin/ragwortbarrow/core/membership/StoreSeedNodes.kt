package ragwortbarrow.core.membership

import com.github.michaelbull.result.get
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoredObject

/** Reads seed nodes from the platform's VM list, which may be out of date, and from the VM leases. */
class StoreSeedNodes(private val store: ObjectStore) : SeedNodeSource {
    override suspend fun read(): List<SeedNode>? {
        val vms = readKind(ObjectKind.VMS)
        val leases = readKind(ObjectKind.VM_LEASES)
        if (vms == null && leases == null) return null
        return (leases.orEmpty() + vms.orEmpty()).distinctBy { it.vm }
    }

    private suspend fun readKind(kind: ObjectKind): List<SeedNode>? {
        val seedNodes = mutableListOf<SeedNode>()
        var continueToken: String? = null
        do {
            val page = store.list(kind, continueToken = continueToken).get() ?: return seedNodes.ifEmpty { null }
            seedNodes += page.items.mapNotNull { it.toSeedNode() }
            continueToken = page.continueToken
        } while (continueToken != null)
        return seedNodes
    }

    private fun StoredObject.toSeedNode(): SeedNode? {
        val domain = text("failureDomain") ?: return null
        val address = text("peerAddress")?.ifBlank { null } ?: return null
        return SeedNode(VmId(text("vm") ?: name), FailureDomainId(domain), address)
    }

    private fun StoredObject.text(field: String): String? =
        runCatching { spec[field]?.jsonPrimitive?.contentOrNull }.getOrNull()
}
