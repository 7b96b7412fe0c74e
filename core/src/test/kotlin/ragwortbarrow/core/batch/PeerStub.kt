package ragwortbarrow.core.batch

import com.github.michaelbull.result.Result
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.ConsentRequest
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.OnlineLoadReport
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.peer.PromiseRequest
import ragwortbarrow.core.peer.ReturnRequest

/** A peer that only supports online load reports. */
internal class PeerStub(private val onReport: suspend (OnlineLoadReport) -> Unit) : PeerService {
    override suspend fun exchange(message: GossipMessage) = unused()

    override suspend fun fetchHead() = unused()

    override suspend fun fetchParts(sha256: List<String>) = unused()

    override suspend fun updateKeys(update: KeyUpdate) = unused()

    override suspend fun acquire(request: AcquireRequest) = unused()

    override suspend fun returnTokens(request: ReturnRequest) = unused()

    override suspend fun promise(request: PromiseRequest) = unused()

    override suspend fun consent(request: ConsentRequest) = unused()

    override suspend fun reportOnlineLoad(report: OnlineLoadReport): Result<Unit, PeerError> {
        onReport(report)
        return OK_UNIT
    }

    private fun unused(): Nothing = error("not used by batch processing")
}
