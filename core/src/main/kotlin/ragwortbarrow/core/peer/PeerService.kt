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
 * What nodes ask of each other. A node implements it for its peers, and an adapter offers the same interface for calls
 * to a remote node; tests connect nodes in memory.
 */
interface PeerService {
    /** Gossip: both sides merge what the other one knows. */
    suspend fun exchange(message: GossipMessage): Result<GossipMessage, PeerError>

    /** The head of the newest configuration that the node has applied. */
    suspend fun fetchHead(): Result<ConfigurationHead?, PeerError>

    /** The parts with these digests that the node has. */
    suspend fun fetchParts(sha256: List<String>): Result<List<ConfigurationPart>, PeerError>

    /** Merges [update] and returns the node's own key state when [update] asks for it. */
    suspend fun updateKeys(update: KeyUpdate): Result<KeyUpdate, PeerError>

    /** Takes tokens from accounts of a limit shard that the node owns. */
    suspend fun acquire(request: AcquireRequest): Result<AcquireReply, PeerError>

    /** Gives back grants, or the unspent part of them. */
    suspend fun returnTokens(request: ReturnRequest): Result<Unit, PeerError>

    /** Asks a standby to consent to no other owner of the shard for a term. */
    suspend fun promise(request: PromiseRequest): Result<PromiseReply, PeerError>

    /** Asks a standby whether a claimant may take the shard over. */
    suspend fun consent(request: ConsentRequest): Result<ConsentReply, PeerError>

    /** Tells the batch dispatcher of backend servers about online requests in flight. */
    suspend fun reportOnlineLoad(report: OnlineLoadReport): Result<Unit, PeerError>
}

/** Gives the [PeerService] of a node by its address, `host:port`. */
fun interface PeerConnector {
    fun connect(peerAddress: String): PeerService
}

/** Why a call to a peer failed; a call that timed out may have been executed. */
sealed interface PeerError {
    val message: String

    data class Unreachable(override val message: String) : PeerError

    data class TimedOut(override val message: String) : PeerError

    data class Refused(override val message: String) : PeerError
}

/** What one node says of a member, itself included. */
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

/** Who owns a limit shard, as far as the sender knows; a higher fencing number is newer. */
data class ShardOwner(val shard: LimitShardId, val owner: VmId, val fencingNumber: Long)

/** Names a limit shard: a group of accounts in one failure domain. */
data class LimitShardId(val failureDomain: FailureDomainId, val index: Int) {
    override fun toString(): String = "$failureDomain-$index"
}

/**
 * One side of a gossip exchange.
 *
 * [platformAgeMillis] is the time since the sender heard from the platform, directly or through peers, or -1 if never.
 * [domainAgesMillis] gives the same for each failure domain.
 */
data class GossipMessage(
    val members: List<MemberInfo>,
    val shardOwners: List<ShardOwner> = emptyList(),
    val configurationVersion: Long = 0,
    val keysDigest: String = "",
    val platformAgeMillis: Long = -1,
    val domainAgesMillis: Map<FailureDomainId, Long> = emptyMap(),
)

/** Key state to merge; with [wantAll] the sender asks for the receiver's whole state in return. */
data class KeyUpdate(
    val grants: List<KeyGrant> = emptyList(),
    val tombstones: List<KeyId> = emptyList(),
    val wantAll: Boolean = false,
)

/**
 * Asks for tokens from accounts of [shard]. With [isLoan], an owner asks another one: the owner gives only what it has
 * itself, and amounts in the request, its grants and their returns are in thousandths of a token.
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
    /** One grant for each item of the request, in its order. */
    data class Granted(val fencingNumber: Long, val grants: List<TokenGrant>) : AcquireReply

    /** The node does not own the shard; [ownerHint] is who does, as far as it knows. */
    data class NotOwner(val ownerHint: VmId?) : AcquireReply
}

/**
 * Tokens taken from an account; [tokens] may be fewer than asked, down to 0. The grant is valid for [validityMillis]
 * from the instant the asker sent its request. [levelTokens] is what the account has left.
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

/** The grant is settled: [unspentTokens] of it were not used. */
data class GrantReturn(val grantId: Long, val unspentTokens: Int)

/** [standbyIncarnation] is that of the standby in the owner's record. */
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

/** Online requests in flight from [reporter] on backend servers; a higher [sequence] replaces a lower one. */
data class OnlineLoadReport(
    val reporter: VmId,
    val incarnation: Long,
    val sequence: Long,
    val inFlight: Map<BackendServerId, Int>,
)
