package ragwortbarrow.entry

import com.github.michaelbull.result.Result
import ragwortbarrow.core.fleet.FleetPeer
import ragwortbarrow.core.fleet.ItemBody
import ragwortbarrow.core.fleet.JobPage
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.core.peer.PeerError

/** A peer whose calls fail the test; a test overrides the calls that it expects. */
internal open class UnusedPeer : FleetPeer {
    override suspend fun exchange(state: NodeState): Result<NodeState, PeerError> = unused()

    override suspend fun fetchSnapshot(kind: SnapshotKind): Result<Snapshot, PeerError> = unused()

    override suspend fun readResults(
        job: String,
        customer: String,
        after: Int,
        waitMillis: Long,
    ): Result<JobPage?, PeerError> = unused()

    override suspend fun readItem(job: String, customer: String, item: String): Result<ItemBody, PeerError> = unused()

    override suspend fun cancelJob(job: String): Result<Boolean, PeerError> = unused()

    override suspend fun checkJobs(jobs: List<String>): Result<Unit, PeerError> = unused()

    private fun unused(): Nothing = error("the test does not expect this call")
}
