package ragwortbarrow.core.limits

import kotlinx.serialization.Serializable
import org.apache.commons.codec.digest.MurmurHash3
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.peer.LimitShardId
import java.math.BigDecimal
import java.math.RoundingMode

/** The failure domains and their numbers of limit shards, in the order of their ids; it fixes every account's share. */
@Serializable
data class ShardLayout(val domains: List<Domain>) {
    @Serializable
    data class Domain(val id: FailureDomainId, val limitShards: Int)

    val shards: List<LimitShardId>
        get() = domains.flatMap { domain -> (0 until domain.limitShards).map { LimitShardId(domain.id, it) } }

    /** The shard of [failureDomain] that holds the account of [customer], or null without such a failure domain. */
    fun shardOf(failureDomain: FailureDomainId, customer: CustomerId): LimitShardId? =
        domains.firstOrNull { it.id == failureDomain }?.let {
            LimitShardId(it.id, Math.floorMod(hash(customer), it.limitShards))
        }

    /** The share of [customer] that the account in [shard] may use; nothing when another shard holds the account. */
    fun shareOf(customer: Customer, shard: LimitShardId): Share = when {
        shardOf(shard.failureDomain, customer.id) != shard -> Share.NONE
        else -> share(customer, domains.indexOfFirst { it.id == shard.failureDomain })
    }

    /**
     * Divides the burst into whole tokens, since a fraction of a token admits nothing, and the rate equally over the
     * accounts that can hold a token. The accounts with one token more start at a place given by the customer's hash.
     */
    private fun share(customer: Customer, index: Int): Share {
        val place = Math.floorMod(index - Math.floorMod(hash(customer.id), domains.size), domains.size)
        val burst = customer.burst / domains.size + if (place < customer.burst % domains.size) 1 else 0
        if (burst == 0) return Share.NONE
        val sharers = minOf(customer.burst, domains.size).toBigDecimal()
        val rateMicros = BigDecimal.valueOf(customer.ratePerSecond).movePointRight(6)
            .divide(sharers, 0, RoundingMode.FLOOR)
        return Share(rateMicros.toLong(), burst.coerceAtMost(Share.MAX_BURST_TOKENS) * Share.TOKEN)
    }

    companion object {
        /** Gives nothing to any account. */
        val EMPTY: ShardLayout = ShardLayout(emptyList())

        fun of(manifest: Manifest): ShardLayout =
            ShardLayout(manifest.fleet.failureDomains.map { Domain(it.id, it.limitShards) }.sortedBy { it.id.value })

        private fun hash(customer: CustomerId): Int = MurmurHash3.hash32x86(customer.value.toByteArray())
    }
}

/**
 * Rate and burst of one account. The units make refill exact in integers: microtokens per second times microseconds
 * are picotokens.
 */
data class Share(val rateMicrotokensPerSecond: Long, val burstPicotokens: Long) {
    /** The part of this share that [other] has too. */
    fun atMost(other: Share): Share = Share(
        minOf(rateMicrotokensPerSecond, other.rateMicrotokensPerSecond),
        minOf(burstPicotokens, other.burstPicotokens),
    )

    companion object {
        /** One token in picotokens. */
        const val TOKEN: Long = 1_000_000_000_000L

        /** A larger burst of one account would overflow the picotokens of a long. */
        const val MAX_BURST_TOKENS: Int = 4_000_000
        val NONE: Share = Share(0, 0)
    }
}
