package ragwortbarrow.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusException
import ragwortbarrow.core.config.ConfigurationHead
import ragwortbarrow.core.config.ConfigurationPart
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.ConsentReply
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.peer.PromiseReply
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.peer.ReturnRequest
import ragwortbarrow.peer.v1.FetchHeadRequest
import ragwortbarrow.peer.v1.FetchPartsRequest
import ragwortbarrow.peer.v1.PeerGrpcKt.PeerCoroutineStub
import java.util.concurrent.TimeUnit

/** Calls one other node over [channel]. */
internal class GrpcPeer(
    private val channel: ManagedChannel,
    private val deadlineMillis: Long,
    private val bulkDeadlineMillis: Long,
) : PeerService {
    private val stub = PeerCoroutineStub(channel)

    override suspend fun exchange(message: GossipMessage): Result<GossipMessage, PeerError> =
        call { exchange(message.toWire()).toCore() }

    override suspend fun fetchHead(): Result<ConfigurationHead?, PeerError> = call {
        val reply = fetchHead(FetchHeadRequest.getDefaultInstance())
        if (reply.hasHead()) reply.head.toCore() else null
    }

    override suspend fun fetchParts(sha256: List<String>): Result<List<ConfigurationPart>, PeerError> =
        call(bulkDeadlineMillis) {
            fetchParts(FetchPartsRequest.newBuilder().addAllSha256(sha256).build()).partsList.map { it.toCore() }
        }

    override suspend fun updateKeys(update: KeyUpdate): Result<KeyUpdate, PeerError> =
        call(bulkDeadlineMillis) { updateKeys(update.toWire()).toCore() }

    override suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError> =
        call { acquire(request.toWire()).toCore() }

    override suspend fun returnTokens(request: ReturnRequest): Result<Unit, PeerError> =
        call { giveBack(request.toWire()) }.map { }

    override suspend fun promise(request: PromiseRequest): Result<PromiseReply, PeerError> =
        call { promise(request.toWire()).toCore() }

    override suspend fun consent(request: ConsentRequest): Result<ConsentReply, PeerError> =
        call { consent(request.toWire()).toCore() }

    override suspend fun reportOnlineLoad(report: OnlineLoadReport): Result<Unit, PeerError> =
        call { reportOnlineLoad(report.toWire()) }.map { }

    private suspend fun <T> call(
        limitMillis: Long = deadlineMillis,
        rpc: suspend PeerCoroutineStub.() -> T,
    ): Result<T, PeerError> {
        channel.reconnectAtOnce()
        return try {
            Ok(stub.withDeadlineAfter(limitMillis, TimeUnit.MILLISECONDS).rpc())
        } catch (failure: StatusException) {
            Err(failure.status.toPeerError())
        }
    }
}

internal fun Status.toPeerError(): PeerError {
    val message = description ?: code.name
    return when (code) {
        Status.Code.DEADLINE_EXCEEDED -> PeerError.TimedOut(message)
        Status.Code.UNAVAILABLE -> PeerError.Unreachable(message)
        else -> PeerError.Refused("$code: $message")
    }
}
