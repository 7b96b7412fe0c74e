package ragwortbarrow.core.peer

import com.github.michaelbull.result.Result
import ragwortbarrow.core.config.ConfigurationHead
import ragwortbarrow.core.config.ConfigurationPart
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.keys.KeyGrant

/**
 * The calls between nodes. Each node implements them for its peers, and an adapter implements them as calls to a remote
 * node. Tests connect nodes in memory.
 */
interface PeerService {
    /** Exchanges gossip; both sides merge the state of the other. */
    suspend fun exchange(message: GossipMessage): Result<GossipMessage, PeerError>

    /** Returns the head of the newest configuration that the node has applied, or null if it has none. */
    suspend fun fetchHead(): Result<ConfigurationHead?, PeerError>

    /** Returns those of the configuration parts with these digests that the node has. */
    suspend fun fetchParts(sha256: List<String>): Result<List<ConfigurationPart>, PeerError>

    /** Merges [update], and returns the node's own key state if [update] requests it. */
    suspend fun updateKeys(update: KeyUpdate): Result<KeyUpdate, PeerError>

    /** Acquires tokens from the token buckets of a limit shard that the node owns. */
    suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError>

    /** Returns the unspent tokens of grants. */
    suspend fun returnTokens(request: ReturnRequest): Result<Unit, PeerError>

    /** Asks a standby to promise that it consents to no other owner of the shard for a term. */
    suspend fun promise(request: PromiseRequest): Result<PromiseReply, PeerError>

    /** Asks a standby for its consent that a claimant takes the shard over. */
    suspend fun consent(request: ConsentRequest): Result<ConsentReply, PeerError>

    /** Reports the online requests in flight to the node that dispatches batch items to these backend servers. */
    suspend fun reportOnlineLoad(report: OnlineLoadReport): Result<Unit, PeerError>
}

/** Returns the [PeerService] of the node at an address of the form `host:port`. */
fun interface PeerConnector {
    fun connect(peerAddress: String): PeerService
}

/** The reason why a call to a peer failed. A call that timed out may have been executed. */
sealed interface PeerError {
    val message: String

    data class Unreachable(override val message: String) : PeerError

    data class TimedOut(override val message: String) : PeerError

    data class Refused(override val message: String) : PeerError
}

/** What a node knows of a member, which may be itself. */
data class MemberInfo(
    val vm: VmId,
    val incarnation: Long,
    val heartbeat: Long,
    val failureDomain: FailureDomainId,
    val peerAddress: String,
    val httpAddress: String,
    val leaving: Boolean = false,
    val configurationVersion: Long = 0,
)

/** The owner of a limit shard as known to the sender; a higher fencing number is newer. */
data class ShardOwner(val shard: LimitShardId, val owner: VmId, val fencingNumber: Long)

/** Identifies a limit shard, a group of token buckets in one failure domain. */
data class LimitShardId(val failureDomain: FailureDomainId, val index: Int) {
    override fun toString(): String = "$failureDomain-$index"
}

/**
 * One side of a gossip exchange.
 *
 * [platformAgeMillis] is the time since the last contact with the platform, directly or through peers, or -1 if there
 * was none. [domainAgesMillis] is the time since the last contact with each failure domain.
 */
data class GossipMessage(
    val members: List<MemberInfo>,
    val shardOwners: List<ShardOwner> = emptyList(),
    val configurationVersion: Long = 0,
    val keysDigest: String = "",
    val platformAgeMillis: Long = -1,
    val domainAgesMillis: Map<FailureDomainId, Long> = emptyMap(),
)

/** Key state to merge. With [wantAll], the sender requests the receiver's complete key state in return. */
data class KeyUpdate(
    val grants: List<KeyGrant> = emptyList(),
    val tombstones: List<KeyId> = emptyList(),
    val wantAll: Boolean = false,
)

/**
 * Requests tokens from the token buckets of [shard]. With [isLoan], the requester is itself an owner: the owner that it
 * asks grants only tokens of its own, and the amounts in the request, its grants and their returns are in thousandths
 * of a token.
 */
data class AcquireRequest(
    val requester: VmId,
    val shard: LimitShardId,
    val items: List<AcquireItem>,
    val spentGrantIds: List<Long> = emptyList(),
    val isLoan: Boolean = false,
)

data class AcquireItem(val customer: CustomerId, val tokens: Int)

sealed interface AcquireReply {
    /** One grant per item of the request, in the same order. */
    data class Granted(val fencingNumber: Long, val grants: List<TokenGrant>) : AcquireReply

    /** The node does not own the shard; [ownerHint] is the owner that it knows, if any. */
    data class NotOwner(val ownerHint: VmId?) : AcquireReply
}

/**
 * Tokens taken from a token bucket; [tokens] may be fewer than requested, down to 0. The grant is valid for
 * [validityMillis] from the time at which the requester sent its request. [levelTokens] is the remaining level of the
 * bucket.
 */
data class TokenGrant(
    val grantId: Long,
    val customer: CustomerId,
    val tokens: Int,
    val validityMillis: Long,
    val retryAfterMillis: Long = 0,
    val levelTokens: Int = 0,
)

data class ReturnRequest(
    val requester: VmId,
    val shard: LimitShardId,
    val fencingNumber: Long,
    val returns: List<GrantReturn>,
)

/** Closes a grant; [unspentTokens] of its tokens were not used. */
data class GrantReturn(val grantId: Long, val unspentTokens: Int)

/** [standbyIncarnation] is the incarnation of the standby in the owner's record. */
data class PromiseRequest(
    val shard: LimitShardId,
    val fencingNumber: Long,
    val owner: VmId,
    val ownerIncarnation: Long,
    val termMillis: Long,
    val standbyIncarnation: Long = 0,
)

data class PromiseReply(val promised: Boolean, val reason: String = "")

data class ConsentRequest(val shard: LimitShardId, val fencingNumber: Long, val claimant: VmId)

data class ConsentReply(val consented: Boolean, val retryAfterMillis: Long = 0, val reason: String = "")

/** The online requests of [reporter] in flight, by backend server; a higher [sequence] replaces a lower one. */
data class OnlineLoadReport(
    val reporter: VmId,
    val incarnation: Long,
    val sequence: Long,
    val inFlight: Map<BackendServerId, Int>,
)
