package ragwortbarrow.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.grpc.CallOptions
import io.grpc.ManagedChannel
import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.stub.ClientCalls
import io.grpc.stub.StreamObserver
import kotlinx.coroutines.suspendCancellableCoroutine
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
import ragwortbarrow.fleet.v1.FleetGrpc
import ragwortbarrow.fleet.v1.ItemRequest
import ragwortbarrow.fleet.v1.ResultsRequest
import ragwortbarrow.fleet.v1.SnapshotRequest
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume

/** Connects to other entry nodes over gRPC [channels]. */
class GrpcFleetConnector(
    private val channels: GrpcChannels,
    private val deadlineMillis: Long = 500,
    private val bulkDeadlineMillis: Long = 1_000,
) : FleetConnector {
    override fun connect(address: String): FleetPeer =
        GrpcFleetPeer(channels.channel(address), deadlineMillis, bulkDeadlineMillis)
}

/**
 * gRPC client for one other entry node, over [channel]. Nodes exchange states several times a second, so the calls use
 * gRPC's callbacks, which take less processor time than the flows of the coroutine stubs.
 */
private class GrpcFleetPeer(
    private val channel: ManagedChannel,
    private val deadlineMillis: Long,
    private val bulkDeadlineMillis: Long,
) : FleetPeer {
    override suspend fun exchange(state: NodeState): Result<NodeState, PeerError> =
        call(FleetGrpc.getExchangeMethod(), state.toWire()).map { it.toCore() }

    override suspend fun fetchSnapshot(kind: SnapshotKind): Result<Snapshot, PeerError> {
        val request = SnapshotRequest.newBuilder().setServers(kind == SnapshotKind.SERVERS)
            .setEvacuations(kind == SnapshotKind.EVACUATIONS).build()
        return call(FleetGrpc.getFetchSnapshotMethod(), request, bulkDeadlineMillis).map { it.toCore() }
    }

    override suspend fun readResults(
        job: String,
        customer: String,
        after: Int,
        waitMillis: Long,
    ): Result<JobPage?, PeerError> {
        val request = ResultsRequest.newBuilder().setJob(job).setCustomer(customer).setAfter(after)
            .setWaitMillis(waitMillis.toInt()).build()
        return call(FleetGrpc.getReadResultsMethod(), request, bulkDeadlineMillis + waitMillis).map { it.toCore() }
    }

    override suspend fun readItem(job: String, customer: String, item: String): Result<ItemBody, PeerError> {
        val request = ItemRequest.newBuilder().setJob(job).setCustomer(customer).setItem(item).build()
        return call(FleetGrpc.getReadItemMethod(), request)
            .map { ItemBody(it.held, if (it.found) it.body.toByteArray() else null) }
    }

    override suspend fun cancelJob(job: String): Result<Boolean, PeerError> =
        call(FleetGrpc.getEndJobMethod(), EndJobRequest.newBuilder().setJob(job).build()).map { it.held }

    override suspend fun checkJobs(jobs: List<String>): Result<Unit, PeerError> =
        call(FleetGrpc.getCheckJobsMethod(), CheckJobsRequest.newBuilder().addAllJobs(jobs).build()).map { }

    private suspend fun <Q, R> call(
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long = deadlineMillis,
    ): Result<R, PeerError> {
        channel.skipReconnectBackoff()
        return suspendCancellableCoroutine { continuation ->
            val options = CallOptions.DEFAULT.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
            val call = channel.newCall(method, options)
            continuation.invokeOnCancellation { call.cancel("the caller no longer waits", it) }
            ClientCalls.asyncUnaryCall(call, request, SingleReply { continuation.resume(it) })
        }
    }

    /** Passes the reply or the error of a call to [onEnd]. */
    private class SingleReply<R>(private val onEnd: (Result<R, PeerError>) -> Unit) : StreamObserver<R> {
        private var reply: R? = null

        override fun onNext(value: R) {
            reply = value
        }

        override fun onError(failure: Throwable) = onEnd(Err(Status.fromThrowable(failure).toPeerError()))

        override fun onCompleted() = onEnd(
            reply?.let { Ok(it) } ?: Err(PeerError.Refused("the call ended without a reply")),
        )
    }
}
