package ragwortbarrow.core.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CancellationException
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.withTimeoutOrNull
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap

/** Finds the owners of shards in the member view and sends them requests, with a backoff after a failed call. */
internal class OwnerDirectory(
    private val self: VmId,
    private val timer: TimerService,
    private val members: MemberView,
    private val connector: PeerConnector,
    private val settings: LimitSettings,
) {
    private val lastFailureNanos = ConcurrentHashMap<VmId, Long>()

    @Volatile
    private var local: TokenSource? = null

    /** Sets the source that answers requests for shards that this node owns, without a message. */
    fun setLocalSource(source: TokenSource) {
        local = source
    }

    /** Whether the owner of [shard] is known, live and not in backoff. */
    fun isReachable(shard: LimitShardId): Boolean = members.ownerOf(shard)?.let { sourceOf(it.owner) } != null

    /** Ends the backoff of the owner of [shard]. */
    fun clearBackoff(shard: LimitShardId) {
        members.ownerOf(shard)?.let { lastFailureNanos.remove(it.owner) }
    }

    fun source(shard: LimitShardId): TokenSource? = members.ownerOf(shard)?.let { sourceOf(it.owner) }

    fun isOwnedBySelf(shard: LimitShardId): Boolean = members.ownerOf(shard)?.owner == self

    /** Acquires tokens from the owner of the shard; follows one redirect if that node is no longer the owner. */
    suspend fun acquire(request: AcquireRequest): Result<AcquireReply.Granted, PeerError> {
        val owner = members.ownerOf(request.shard)?.owner ?: return unreachable("owner of ${request.shard} is unknown")
        val first = acquireFrom(owner, request)
        val reply = first.get() ?: return unreachable("$owner did not answer")
        if (reply is AcquireReply.Granted) return Ok(reply)
        val hint = (reply as AcquireReply.NotOwner).ownerHint?.takeIf { it != owner }
            ?: return unreachable("$owner does not own ${request.shard}")
        val second = acquireFrom(hint, request).get() as? AcquireReply.Granted
        return second?.let { Ok(it) } ?: unreachable("neither $owner nor $hint owns ${request.shard}")
    }

    private suspend fun acquireFrom(vm: VmId, request: AcquireRequest): Result<AcquireReply, PeerError> {
        val source = sourceOf(vm) ?: return unreachable("$vm is not reachable")
        if (source === local) return source.acquire(request)
        val reply = try {
            timer.withTimeoutOrNull(settings.callTimeoutMillis) { source.acquire(request) }
                ?: Err(PeerError.TimedOut("$vm did not answer in ${settings.callTimeoutMillis} ms"))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Err(PeerError.Unreachable("$vm: ${e.message}"))
        }
        if (reply.isErr) lastFailureNanos[vm] = timer.nanoTime() else lastFailureNanos.remove(vm)
        return reply
    }

    private fun sourceOf(vm: VmId): TokenSource? {
        if (vm == self) return local
        val failedNanos = lastFailureNanos[vm]
        val backoffNanos = settings.unreachableBackoffMillis * NANOS_PER_MILLI
        if (failedNanos != null && timer.nanoTime() - failedNanos < backoffNanos) return null
        val member = members.member(vm) ?: return null
        if (members.live(member.failureDomain).none { it.vm == vm }) return null
        return TokenSource.Remote(connector.connect(member.peerAddress))
    }

    private fun unreachable(message: String) = Err(PeerError.Unreachable(message))

    /** The failure domains of [layout] except [own], starting with the one that follows it. */
    fun otherDomains(layout: ShardLayout, own: FailureDomainId): List<FailureDomainId> {
        val domains = layout.domains.map { it.id }
        val start = domains.indexOf(own) + 1
        return domains.indices.map { domains[(start + it) % domains.size] }.filter { it != own }
    }
}
