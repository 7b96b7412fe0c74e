package ragwortbarrow.peer

import com.google.protobuf.ByteString
import ragwortbarrow.core.fleet.FleetPeer
import ragwortbarrow.core.fleet.SnapshotKind
import ragwortbarrow.fleet.v1.CheckJobsReply
import ragwortbarrow.fleet.v1.CheckJobsRequest
import ragwortbarrow.fleet.v1.EndJobReply
import ragwortbarrow.fleet.v1.EndJobRequest
import ragwortbarrow.fleet.v1.FleetGrpcKt
import ragwortbarrow.fleet.v1.ItemReply
import ragwortbarrow.fleet.v1.ItemRequest
import ragwortbarrow.fleet.v1.NodeState
import ragwortbarrow.fleet.v1.ResultsReply
import ragwortbarrow.fleet.v1.ResultsRequest
import ragwortbarrow.fleet.v1.Snapshot
import ragwortbarrow.fleet.v1.SnapshotRequest
import kotlin.coroutines.CoroutineContext

/** Translates gRPC calls between entry nodes into calls of [service]. */
class FleetEndpoint(private val service: FleetPeer, context: CoroutineContext) :
    FleetGrpcKt.FleetCoroutineImplBase(context) {
    override suspend fun exchange(request: NodeState): NodeState = service.exchange(request.toCore()).orThrow().toWire()

    override suspend fun fetchSnapshot(request: SnapshotRequest): Snapshot {
        val kind = if (request.servers) SnapshotKind.SERVERS else SnapshotKind.CONFIGURATION
        return service.fetchSnapshot(kind).orThrow().toWire()
    }

    override suspend fun readResults(request: ResultsRequest): ResultsReply =
        service.readResults(request.job, request.customer, request.after, request.waitMillis.toLong())
            .orThrow().toWire()

    override suspend fun readItem(request: ItemRequest): ItemReply {
        val item = service.readItem(request.job, request.customer, request.item).orThrow()
        val reply = ItemReply.newBuilder().setHeld(item.isJobFound)
        item.body?.let { reply.setFound(true).setBody(ByteString.copyFrom(it)) }
        return reply.build()
    }

    override suspend fun endJob(request: EndJobRequest): EndJobReply =
        EndJobReply.newBuilder().setHeld(service.cancelJob(request.job).orThrow()).build()

    override suspend fun checkJobs(request: CheckJobsRequest): CheckJobsReply {
        service.checkJobs(request.jobsList).orThrow()
        return CheckJobsReply.getDefaultInstance()
    }
}
