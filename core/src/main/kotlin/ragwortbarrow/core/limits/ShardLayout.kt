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

/** The failure domains, ordered by id, with their numbers of limit shards. It determines the share of every bucket. */
@Serializable
data class ShardLayout(val domains: List<Domain>) {
    @Serializable
    data class Domain(val id: FailureDomainId, val limitShards: Int)

    val shards: List<LimitShardId>
        get() = domains.flatMap { domain -> (0 until domain.limitShards).map { LimitShardId(domain.id, it) } }

    /** The shard of [failureDomain] that holds the bucket of [customer], or null if the failure domain is unknown. */
    fun shardOf(failureDomain: FailureDomainId, customer: CustomerId): LimitShardId? =
        domains.firstOrNull { it.id == failureDomain }?.let {
            LimitShardId(it.id, Math.floorMod(hash(customer), it.limitShards))
        }

    /** The share of [customer] for its bucket in [shard], or [Share.NONE] if another shard holds the bucket. */
    fun shareOf(customer: Customer, shard: LimitShardId): Share = when {
        shardOf(shard.failureDomain, customer.id) != shard -> Share.NONE
        else -> share(customer, domains.indexOfFirst { it.id == shard.failureDomain })
    }

    /**
     * Divides the burst into whole tokens, because a fraction of a token admits no request. The rate is divided equally
     * among the buckets that can hold a token. The customer's hash determines which buckets get one more token.
     */
    private fun share(customer: Customer, index: Int): Share {
        val position = Math.floorMod(index - Math.floorMod(hash(customer.id), domains.size), domains.size)
        val burst = customer.burst / domains.size + if (position < customer.burst % domains.size) 1 else 0
        if (burst == 0) return Share.NONE
        val bucketCount = minOf(customer.burst, domains.size).toBigDecimal()
        val rateMicros = BigDecimal.valueOf(customer.ratePerSecond).movePointRight(6)
            .divide(bucketCount, 0, RoundingMode.FLOOR)
        return Share(rateMicros.toLong(), burst.coerceAtMost(Share.MAX_BURST_TOKENS) * Share.PICOTOKENS_PER_TOKEN)
    }

    companion object {
        /** Gives no share to any bucket. */
        val EMPTY: ShardLayout = ShardLayout(emptyList())

        fun of(manifest: Manifest): ShardLayout =
            ShardLayout(manifest.fleet.failureDomains.map { Domain(it.id, it.limitShards) }.sortedBy { it.id.value })

        private fun hash(customer: CustomerId): Int = MurmurHash3.hash32x86(customer.value.toByteArray())
    }
}

/**
 * Rate and burst of one bucket. The units make refill exact in integer arithmetic: microtokens per second times
 * microseconds gives picotokens.
 */
data class Share(val rateMicrotokensPerSecond: Long, val burstPicotokens: Long) {
    /** Limits rate and burst to those of [other]. */
    fun coerceAtMost(other: Share): Share = Share(
        minOf(rateMicrotokensPerSecond, other.rateMicrotokensPerSecond),
        minOf(burstPicotokens, other.burstPicotokens),
    )

    companion object {
        const val PICOTOKENS_PER_TOKEN: Long = 1_000_000_000_000L

        /** A larger burst of one bucket would overflow a Long of picotokens. */
        const val MAX_BURST_TOKENS: Int = 4_000_000
        val NONE: Share = Share(0, 0)
    }
}
