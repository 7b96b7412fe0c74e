package ragwortbarrow.entry

import com.github.michaelbull.result.Result
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.traffic.RoutingTable

/** What an entry node needs of the platform that it runs on; the adapter of the platform implements it. */
interface EntryPlatform {
    val protocol: EntryProtocol
    val store: ObjectStore

    /** False while calls to the store go unanswered. */
    val isStoreReachable: Boolean

    /** Throws [IllegalArgumentException] for a document that is not a configuration. */
    fun parseConfiguration(document: String): RoutingTable

    /** Null for an entry that names no server to use. */
    fun parseBackendServer(entry: StoredObject): BackendServer?

    /** Reports that a storage VM holds nothing that would be lost with it. */
    suspend fun reportRetirementCompleted(request: StoredObject): Result<Unit, StoreError>

    /** Whether a request to empty a storage VM has been answered. */
    fun isRetirementCompleted(request: StoredObject): Boolean
}
