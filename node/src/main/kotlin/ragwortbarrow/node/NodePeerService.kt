package ragwortbarrow.node

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import ragwortbarrow.core.batch.BatchRuntime
import ragwortbarrow.core.config.ConfigurationHead
import ragwortbarrow.core.config.ConfigurationPart
import ragwortbarrow.core.config.ConfigurationSync
import ragwortbarrow.core.keys.KeySync
import ragwortbarrow.core.limits.LimitService
import ragwortbarrow.core.membership.GossipMembership
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

/** Hands each call of a peer to the part of this node that answers it. */
internal class NodePeerService(
    private val members: GossipMembership,
    private val configuration: ConfigurationSync,
    private val keys: KeySync,
    private val limits: LimitService,
    private val batch: BatchRuntime,
) : PeerService {
    override suspend fun exchange(message: GossipMessage): Result<GossipMessage, PeerError> =
        Ok(members.exchange(message))

    override suspend fun fetchHead(): Result<ConfigurationHead?, PeerError> = Ok(configuration.fetchHead())

    override suspend fun fetchParts(sha256: List<String>): Result<List<ConfigurationPart>, PeerError> =
        Ok(configuration.fetchParts(sha256))

    override suspend fun updateKeys(update: KeyUpdate): Result<KeyUpdate, PeerError> = Ok(keys.updateKeys(update))

    override suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError> = limits.acquire(request)

    override suspend fun returnTokens(request: ReturnRequest): Result<Unit, PeerError> = limits.returnTokens(request)

    override suspend fun promise(request: PromiseRequest): Result<PromiseReply, PeerError> = limits.promise(request)

    override suspend fun consent(request: ConsentRequest): Result<ConsentReply, PeerError> = limits.consent(request)

    override suspend fun reportOnlineLoad(report: OnlineLoadReport): Result<Unit, PeerError> =
        Ok(batch.acceptOnlineLoad(report))
}
