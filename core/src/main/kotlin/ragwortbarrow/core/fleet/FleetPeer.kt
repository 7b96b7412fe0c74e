package ragwortbarrow.core.fleet

import com.github.michaelbull.result.Result
import ragwortbarrow.core.jobs.ItemResult
import ragwortbarrow.core.peer.PeerError

/** What entry nodes ask of each other; a node implements it for its peers. */
interface FleetPeer {
    suspend fun exchange(state: NodeState): Result<NodeState, PeerError>

    /** The configuration or the list of backend servers as the node last had it from the platform. */
    suspend fun fetchSnapshot(kind: SnapshotKind): Result<Snapshot, PeerError>

    /** Results of a batch job from position [after] on; null if the node does not run the job. */
    suspend fun readResults(job: String, customer: String, after: Int, waitMillis: Long): Result<JobPage?, PeerError>

    /** The body of an item that has no result yet; [ItemBody.isJobFound] is false if the node does not run the job. */
    suspend fun readItem(job: String, customer: String, item: String): Result<ItemBody, PeerError>

    /** Stops a job that was cancelled; false if the node does not run it. */
    suspend fun cancelJob(job: String): Result<Boolean, PeerError>

    /** Batch [jobs] that should run at the node: it takes over those that it does not run. */
    suspend fun checkJobs(jobs: List<String>): Result<Unit, PeerError>
}

/** Connects to nodes by their peer address. */
fun interface FleetConnector {
    fun connect(address: String): FleetPeer
}

enum class SnapshotKind { CONFIGURATION, SERVERS }

/** A document as the platform keeps it, with the version or revision that orders it. */
data class Snapshot(val revision: Long, val document: String)

/** Results of a job from one position on, and how many items it has. */
data class JobPage(val total: Int, val results: List<ItemResult>)

data class ItemBody(val isJobFound: Boolean, val body: ByteArray? = null)
