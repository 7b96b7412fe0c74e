package ragwortbarrow.core.fleet

import com.github.michaelbull.result.Result
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.peer.PeerError

/** The calls between entry nodes; each node implements them for its peers. */
interface FleetPeer {
    /** Sends the caller's state and returns the state of the called node. */
    suspend fun exchange(state: NodeState): Result<NodeState, PeerError>

    /** The latest configuration or list of backend servers that the node received from the platform. */
    suspend fun fetchSnapshot(kind: SnapshotKind): Result<Snapshot, PeerError>

    /** Results of a batch job from position [after] on; null if the node does not run the job. */
    suspend fun readResults(job: String, customer: String, after: Int, waitMillis: Long): Result<JobPage?, PeerError>

    /** The body of an item that has no result yet; [ItemBody.isJobFound] is false if the node does not run the job. */
    suspend fun readItem(job: String, customer: String, item: String): Result<ItemBody, PeerError>

    /** Stops a cancelled job; returns false if the node does not run it. */
    suspend fun cancelJob(job: String): Result<Boolean, PeerError>

    /** Tells the node that it should run the batch [jobs]; it takes over those that it does not run yet. */
    suspend fun checkJobs(jobs: List<String>): Result<Unit, PeerError>
}

/** Connects to a node by its peer address. */
fun interface FleetConnector {
    fun connect(address: String): FleetPeer
}

enum class SnapshotKind { CONFIGURATION, SERVERS, EVACUATIONS }

/** A document in the platform's format; [revision] is its version, or the store revision for lists. */
data class Snapshot(val revision: Long, val document: String)

/** Results of a job from a position on; [total] is the number of its items. */
data class JobPage(val total: Int, val results: List<ItemResult>)

data class ItemBody(val isJobFound: Boolean, val body: ByteArray? = null)
