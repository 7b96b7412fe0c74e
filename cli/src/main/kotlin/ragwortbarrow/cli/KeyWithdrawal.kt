package ragwortbarrow.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.keys.KeyObjects
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.listAll

/** What became of a withdrawal; [unconfirmed] gives the reason by node. */
data class WithdrawalReport(
    val platformError: String?,
    val nodesError: String?,
    val confirmed: Set<String>,
    val unconfirmed: Map<String, String>,
) {
    /** Whether every node is known to refuse the key. Nodes write a tombstone that the platform lacks to it later. */
    val isComplete: Boolean
        get() = unconfirmed.isEmpty() && nodesError == null && (platformError == null || confirmed.isNotEmpty())
}

/** Withdraws a key on the platform and, at the same time, on every node that can be named. */
class KeyWithdrawal(
    private val store: ObjectStore,
    private val writer: IdempotentWriter,
    private val connector: PeerConnector,
    private val nodeTimeoutMillis: Long = 3_000,
) {
    /** [extraNodes] are peer addresses that the operator knows, for an outage of the platform. */
    suspend fun withdraw(id: KeyId, extraNodes: List<String> = emptyList()): WithdrawalReport = coroutineScope {
        val tombstone = async { createTombstone(id) }
        val listed = nodeAddresses()
        val addresses = listed.getOrElse { discover(extraNodes) } + extraNodes.associateBy { it }
        val outcomes = addresses.map { (name, address) ->
            async { name to if (address.isEmpty()) "its address is not known" else tell(address, id) }
        }.awaitAll()
        WithdrawalReport(
            platformError = tombstone.await(),
            nodesError = listed.fold({ null }, { it.message }),
            confirmed = outcomes.filter { it.second == null }.mapTo(sortedSetOf()) { it.first },
            unconfirmed = outcomes.mapNotNull { (name, reason) -> reason?.let { name to it } }.toMap().toSortedMap(),
        )
    }

    /**
     * Asks the [seeds] and every node found on the way for their members. Each answer names only some members, so the
     * result may lack nodes and does not make a withdrawal complete.
     */
    private suspend fun discover(seeds: List<String>): Map<String, String> = coroutineScope {
        val found = HashMap<String, String>()
        val asked = HashSet<String>()
        var next = seeds
        while (next.isNotEmpty()) {
            asked += next
            next.map { address -> async { membersKnownTo(address) } }.awaitAll().flatten()
                .forEach { found[it.vm.value] = it.peerAddress }
            next = found.values.filter { it !in asked }
        }
        found.filterValues { it !in seeds }
    }

    private suspend fun membersKnownTo(address: String): List<MemberInfo> = try {
        withTimeoutOrNull(nodeTimeoutMillis) {
            connector.connect(address).exchange(GossipMessage(members = emptyList())).getOrElse { null }?.members
        }.orEmpty()
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: Exception) {
        // The node is named as unconfirmed when the withdrawal itself cannot reach it.
        emptyList()
    }

    private suspend fun createTombstone(id: KeyId): String? =
        writer.create(ObjectKind.KEY_TOMBSTONES, id.value, KeyObjects.tombstoneSpec).fold(
            { null },
            { if (it is StoreError.AlreadyExists) null else it.message },
        )

    /** Returns the reason why the node has not confirmed, or null. */
    private suspend fun tell(address: String, id: KeyId): String? = try {
        val reply = withTimeoutOrNull(nodeTimeoutMillis) {
            connector.connect(address).updateKeys(KeyUpdate(tombstones = listOf(id)))
        }
        if (reply == null) "no reply within $nodeTimeoutMillis ms" else reply.fold({ null }, { it.message })
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: Exception) {
        failure.message ?: failure.javaClass.simpleName
    }

    /** Peer addresses by VM id: the VM list shows VMs without a lease, and the leases show addresses. */
    private suspend fun nodeAddresses(): Result<Map<String, String>, StoreError> {
        val vms = store.listAll(ObjectKind.VMS).getOrElse { return Err(it) }
        val leases = store.listAll(ObjectKind.VM_LEASES).getOrElse { return Err(it) }
        return Ok(
            (vms.items + leases.items).groupBy { it.name }.mapValues { (_, objects) ->
                objects.map { (it.spec["peerAddress"] as? JsonPrimitive)?.contentOrNull.orEmpty() }
                    .lastOrNull { it.isNotEmpty() }.orEmpty()
            },
        )
    }
}
