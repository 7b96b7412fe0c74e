package ragwortbarrow.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.grpc.ManagedChannel
import io.grpc.StatusException
import ragwortbarrow.core.fleet.FleetConnector
import ragwortbarrow.core.fleet.FleetPeer
import ragwortbarrow.core.fleet.ItemBody
import ragwortbarrow.core.fleet.JobPage
import ragwortbarrow.core.fleet.NodeState
import ragwortbarrow.core.fleet.Snapshot
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.fleet.v1.CheckJobsRequest
import ragwortbarrow.fleet.v1.EndJobRequest
import ragwortbarrow.fleet.v1.FleetGrpcKt.FleetCoroutineStub
import ragwortbarrow.fleet.v1.ItemRequest
import ragwortbarrow.fleet.v1.ResultsRequest
import ragwortbarrow.fleet.v1.SnapshotRequest
import java.util.concurrent.TimeUnit

/** Connects entry nodes by gRPC over [channels]. */
class GrpcFleetConnector(
    private val channels: GrpcChannels,
    private val deadlineMillis: Long = 500,
    private val bulkDeadlineMillis: Long = 1_000,
) : FleetConnector {
    override fun connect(address: String): FleetPeer =
        GrpcFleetPeer(channels.channel(address), deadlineMillis, bulkDeadlineMillis)
}

/** Calls one other entry node over [channel]. */
private class GrpcFleetPeer(
    private val channel: ManagedChannel,
    private val deadlineMillis: Long,
    private val bulkDeadlineMillis: Long,
) : FleetPeer {
    private val stub = FleetCoroutineStub(channel)

    override suspend fun exchange(state: NodeState): Result<NodeState, PeerError> =
        call { exchange(state.toWire()).toCore() }

    override suspend fun fetchSnapshot(kind: SnapshotKind): Result<Snapshot, PeerError> = call(bulkDeadlineMillis) {
        fetchSnapshot(SnapshotRequest.newBuilder().setServers(kind == SnapshotKind.SERVERS).build()).toCore()
    }

    override suspend fun readResults(
        job: String,
        customer: String,
        after: Int,
        waitMillis: Long,
    ): Result<JobPage?, PeerError> = call(bulkDeadlineMillis + waitMillis) {
        val request = ResultsRequest.newBuilder().setJob(job).setCustomer(customer).setAfter(after)
        readResults(request.setWaitMillis(waitMillis.toInt()).build()).toCore()
    }

    override suspend fun readItem(job: String, customer: String, item: String): Result<ItemBody, PeerError> = call {
        val reply = readItem(ItemRequest.newBuilder().setJob(job).setCustomer(customer).setItem(item).build())
        ItemBody(reply.held, if (reply.found) reply.body.toByteArray() else null)
    }

    override suspend fun cancelJob(job: String): Result<Boolean, PeerError> =
        call { endJob(EndJobRequest.newBuilder().setJob(job).build()).held }

    override suspend fun checkJobs(jobs: List<String>): Result<Unit, PeerError> =
        call { checkJobs(CheckJobsRequest.newBuilder().addAllJobs(jobs).build()) }.map { }

    private suspend fun <T> call(
        limitMillis: Long = deadlineMillis,
        rpc: suspend FleetCoroutineStub.() -> T,
    ): Result<T, PeerError> {
        channel.reconnectAtOnce()
        return try {
            Ok(stub.withDeadlineAfter(limitMillis, TimeUnit.MILLISECONDS).rpc())
        } catch (failure: StatusException) {
            Err(failure.status.toPeerError())
        }
    }
}
