package ragwortbarrow.peer

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.grpc.Status
import io.grpc.StatusException
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.peer.v1.Acquisition
import ragwortbarrow.peer.v1.AcquisitionReply
import ragwortbarrow.peer.v1.Empty
import ragwortbarrow.peer.v1.FetchHeadReply
import ragwortbarrow.peer.v1.FetchHeadRequest
import ragwortbarrow.peer.v1.FetchPartsReply
import ragwortbarrow.peer.v1.FetchPartsRequest
import ragwortbarrow.peer.v1.GiveBackRequest
import ragwortbarrow.peer.v1.Gossip
import ragwortbarrow.peer.v1.Keys
import ragwortbarrow.peer.v1.LeasePromise
import ragwortbarrow.peer.v1.LeasePromiseReply
import ragwortbarrow.peer.v1.OnlineLoad
import ragwortbarrow.peer.v1.PeerGrpcKt
import ragwortbarrow.peer.v1.TakeoverConsent
import ragwortbarrow.peer.v1.TakeoverConsentReply
import kotlin.coroutines.CoroutineContext

/** Translates gRPC calls into calls of [service], and its errors into gRPC statuses. */
internal class PeerEndpoint(private val service: PeerService, context: CoroutineContext) :
    PeerGrpcKt.PeerCoroutineImplBase(context) {
    override suspend fun exchange(request: Gossip): Gossip = service.exchange(request.toCore()).orThrow().toWire()

    override suspend fun fetchHead(request: FetchHeadRequest): FetchHeadReply {
        val reply = FetchHeadReply.newBuilder()
        service.fetchHead().orThrow()?.let { reply.setHead(it.toWire()) }
        return reply.build()
    }

    override suspend fun fetchParts(request: FetchPartsRequest): FetchPartsReply {
        val parts = service.fetchParts(request.sha256List).orThrow()
        return FetchPartsReply.newBuilder().addAllParts(parts.map { it.toWire() }).build()
    }

    override suspend fun updateKeys(request: Keys): Keys = service.updateKeys(request.toCore()).orThrow().toWire()

    override suspend fun acquire(request: Acquisition): AcquisitionReply =
        service.acquire(request.toCore()).orThrow().toWire()

    override suspend fun giveBack(request: GiveBackRequest): Empty {
        service.returnTokens(request.toCore()).orThrow()
        return Empty.getDefaultInstance()
    }

    override suspend fun promise(request: LeasePromise): LeasePromiseReply =
        service.promise(request.toCore()).orThrow().toWire()

    override suspend fun consent(request: TakeoverConsent): TakeoverConsentReply =
        service.consent(request.toCore()).orThrow().toWire()

    override suspend fun reportOnlineLoad(request: OnlineLoad): Empty {
        service.reportOnlineLoad(request.toCore()).orThrow()
        return Empty.getDefaultInstance()
    }
}

internal fun <T> Result<T, PeerError>.orThrow(): T = getOrElse { error -> throw StatusException(error.toStatus()) }

private fun PeerError.toStatus(): Status = when (this) {
    is PeerError.Unreachable -> Status.UNAVAILABLE
    is PeerError.TimedOut -> Status.DEADLINE_EXCEEDED
    is PeerError.Refused -> Status.FAILED_PRECONDITION
}.withDescription(message)
