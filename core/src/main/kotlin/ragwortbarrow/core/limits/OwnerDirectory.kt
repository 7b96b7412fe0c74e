package ragwortbarrow.core.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CancellationException
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.withDeadline
import ragwortbarrow.core.membership.MemberView
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.ConcurrentHashMap

/** Finds the owners of shards through the member view and leaves an owner that did not answer alone for a while. */
internal class OwnerDirectory(
    private val self: VmId,
    private val timer: TimerService,
    private val members: MemberView,
    private val connector: PeerConnector,
    private val settings: LimitSettings,
) {
    private val failedAtNanos = ConcurrentHashMap<VmId, Long>()

    @Volatile
    private var local: TokenSource? = null

    /** Answers calls to this node itself without a message. */
    fun useLocal(source: TokenSource) {
        local = source
    }

    /** Whether the owner of [shard] is known and has answered lately or not been asked. */
    fun isReachable(shard: LimitShardId): Boolean = members.ownerOf(shard)?.let { sourceOf(it.owner) } != null

    /** Lets the owner of [shard] be asked although it did not answer lately. */
    fun endPause(shard: LimitShardId) {
        members.ownerOf(shard)?.let { failedAtNanos.remove(it.owner) }
    }

    fun source(shard: LimitShardId): TokenSource? = members.ownerOf(shard)?.let { sourceOf(it.owner) }

    fun isOwnedBySelf(shard: LimitShardId): Boolean = members.ownerOf(shard)?.owner == self

    /** Asks the owner of the shard, and once more the one it names if it is not the owner. */
    suspend fun acquire(request: AcquireRequest): Result<AcquireReply.Granted, PeerError> {
        val owner = members.ownerOf(request.shard)?.owner ?: return unreachable("owner of ${request.shard} unknown")
        val first = ask(owner, request)
        val reply = first.get() ?: return unreachable("$owner did not answer")
        if (reply is AcquireReply.Granted) return Ok(reply)
        val hint = (reply as AcquireReply.NotOwner).ownerHint?.takeIf { it != owner }
            ?: return unreachable("$owner does not own ${request.shard}")
        val second = ask(hint, request).get() as? AcquireReply.Granted
        return second?.let { Ok(it) } ?: unreachable("neither $owner nor $hint owns ${request.shard}")
    }

    private suspend fun ask(vm: VmId, request: AcquireRequest): Result<AcquireReply, PeerError> {
        val source = sourceOf(vm) ?: return unreachable("$vm is not reachable")
        if (source === local) return source.acquire(request)
        val reply = try {
            timer.withDeadline(settings.callDeadlineMillis) { source.acquire(request) }
                ?: Err(PeerError.TimedOut("$vm did not answer in ${settings.callDeadlineMillis} ms"))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Err(PeerError.Unreachable("$vm: ${e.message}"))
        }
        if (reply.isErr) failedAtNanos[vm] = timer.nanoTime() else failedAtNanos.remove(vm)
        return reply
    }

    private fun sourceOf(vm: VmId): TokenSource? {
        if (vm == self) return local
        val failed = failedAtNanos[vm]
        val pauseNanos = settings.unreachablePauseMillis * NANOS_PER_MILLI
        if (failed != null && timer.nanoTime() - failed < pauseNanos) return null
        val member = members.member(vm) ?: return null
        if (members.live(member.failureDomain).none { it.vm == vm }) return null
        return TokenSource.Remote(connector.connect(member.peerAddress))
    }

    private fun unreachable(message: String) = Err(PeerError.Unreachable(message))

    /** The failure domains of [layout] in the order in which this node asks them when its own does not answer. */
    fun others(layout: ShardLayout, own: FailureDomainId): List<FailureDomainId> {
        val domains = layout.domains.map { it.id }
        val start = domains.indexOf(own) + 1
        return domains.indices.map { domains[(start + it) % domains.size] }.filter { it != own }
    }
}
