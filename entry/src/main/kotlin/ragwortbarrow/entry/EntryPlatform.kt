package ragwortbarrow.entry

import com.github.michaelbull.result.Result
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.placement.BackendServer
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.traffic.RoutingTable

/** The platform on which an entry node runs; each platform has its own adapter. */
interface EntryPlatform {
    val protocol: EntryProtocol
    val store: ObjectStore

    /** False while calls to the store get no reply. */
    val isStoreReachable: Boolean

    /** Time since a call to the store last failed because the store did not serve it; null if none has. */
    val millisSinceStoreFailure: Long?

    /** Throws [IllegalArgumentException] if [document] is not a valid configuration. */
    fun parseConfiguration(document: String): RoutingTable

    /** Null if [entry] describes no usable server. */
    fun parseBackendServer(entry: StoredObject): BackendServer?

    /** The failure domain that [entry] asks to evacuate; null if it names none. */
    fun parseEvacuation(entry: StoredObject): FailureDomainId?

    /** Reports that the storage VM of [request] can be removed without data loss. */
    suspend fun reportRetirementCompleted(request: StoredObject): Result<Unit, StoreError>

    /** Whether completion of the retirement [request] has been reported. */
    fun isRetirementCompleted(request: StoredObject): Boolean
}
