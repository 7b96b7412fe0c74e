package ragwortbarrow.core.limits

import com.github.michaelbull.result.Result
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.peer.ReturnRequest

/** A local or remote node that owns limit shards. */
internal interface TokenSource {
    suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError>

    suspend fun returnTokens(request: ReturnRequest): Result<Unit, PeerError>

    /** Calls a remote node. */
    class Remote(private val peer: PeerService) : TokenSource {
        override suspend fun acquire(request: AcquireRequest) = peer.acquire(request)

        override suspend fun returnTokens(request: ReturnRequest) = peer.returnTokens(request)
    }
}
