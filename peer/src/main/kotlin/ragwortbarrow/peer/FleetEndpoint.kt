package ragwortbarrow.peer

import com.google.protobuf.ByteString
import io.grpc.Status
import io.grpc.StatusException
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import ragwortbarrow.core.fleet.FleetPeer
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.fleet.v1.CheckJobsReply
import ragwortbarrow.fleet.v1.CheckJobsRequest
import ragwortbarrow.fleet.v1.EndJobReply
import ragwortbarrow.fleet.v1.EndJobRequest
import ragwortbarrow.fleet.v1.FleetGrpc
import ragwortbarrow.fleet.v1.ItemReply
import ragwortbarrow.fleet.v1.ItemRequest
import ragwortbarrow.fleet.v1.NodeState
import ragwortbarrow.fleet.v1.ResultsReply
import ragwortbarrow.fleet.v1.ResultsRequest
import ragwortbarrow.fleet.v1.Snapshot
import ragwortbarrow.fleet.v1.SnapshotRequest
import kotlin.coroutines.CoroutineContext

/**
 * gRPC service for other entry nodes that delegates to [service]. Uses gRPC's callbacks for the same reason as the
 * client.
 */
class FleetEndpoint(private val service: FleetPeer, context: CoroutineContext) : FleetGrpc.FleetImplBase() {
    private val scope = CoroutineScope(context + SupervisorJob())

    override fun exchange(request: NodeState, reply: StreamObserver<NodeState>) =
        answer(reply) { service.exchange(request.toCore()).orThrow().toWire() }

    override fun fetchSnapshot(request: SnapshotRequest, reply: StreamObserver<Snapshot>) = answer(reply) {
        val kind = when {
            request.servers -> SnapshotKind.SERVERS
            request.evacuations -> SnapshotKind.EVACUATIONS
            else -> SnapshotKind.CONFIGURATION
        }
        service.fetchSnapshot(kind).orThrow().toWire()
    }

    override fun readResults(request: ResultsRequest, reply: StreamObserver<ResultsReply>) = answer(reply) {
        service.readResults(request.job, request.customer, request.after, request.waitMillis.toLong())
            .orThrow().toWire()
    }

    override fun readItem(request: ItemRequest, reply: StreamObserver<ItemReply>) = answer(reply) {
        val item = service.readItem(request.job, request.customer, request.item).orThrow()
        val built = ItemReply.newBuilder().setHeld(item.isJobFound)
        item.body?.let { built.setFound(true).setBody(ByteString.copyFrom(it)) }
        built.build()
    }

    override fun endJob(request: EndJobRequest, reply: StreamObserver<EndJobReply>) = answer(reply) {
        EndJobReply.newBuilder().setHeld(service.cancelJob(request.job).orThrow()).build()
    }

    override fun checkJobs(request: CheckJobsRequest, reply: StreamObserver<CheckJobsReply>) = answer(reply) {
        service.checkJobs(request.jobsList).orThrow()
        CheckJobsReply.getDefaultInstance()
    }

    /** Runs [handle] and sends its result or failure, until the caller gives up. */
    private fun <R> answer(reply: StreamObserver<R>, handle: suspend () -> R) {
        val job = scope.launch {
            try {
                reply.onNext(handle())
                reply.onCompleted()
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: StatusException) {
                reply.onError(failure)
            } catch (failure: Exception) {
                logger.error("event=peer_call_failed", failure)
                reply.onError(Status.INTERNAL.withDescription(failure.message).asException())
            }
        }
        (reply as ServerCallStreamObserver<R>).setOnCancelHandler { job.cancel() }
    }

    private companion object {
        val logger = LogManager.getLogger(FleetEndpoint::class.java)
    }
}
