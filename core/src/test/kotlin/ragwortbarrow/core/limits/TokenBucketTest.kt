package ragwortbarrow.core.limits

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.limits.Share.Companion.PICOTOKENS_PER_TOKEN
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.NANOS_PER_SECOND
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Tests the arithmetic of a single bucket. An error there lets the whole fleet exceed a customer's rate and burst. */
class TokenBucketTest {
    private val customer = Customer(CustomerId("c"), ratePerSecond = 7.0, burst = 10)

    @Property(tries = 300, seed = "7", shrinking = ShrinkingMode.OFF)
    fun `tokens spent late, lost or returned never exceed rate and burst`(@ForAll seed: Long) {
        expectThat(worstExcess(seed, endMillis = 550)).isLessThanOrEqualTo(0.0)
    }

    @Test
    fun `treating a grant as expired before its validity has ended admits too much`() {
        expectThat((1L..50L).maxOf { worstExcess(it, endMillis = 50) }).isGreaterThan(0.0)
    }

    /** Spends each grant at a random time within its validity of 500 ms, and releases only some of them. */
    private fun worstExcess(seed: Long, endMillis: Long): Double {
        val random = Random(seed)
        val bucket = TokenBucket(share(), startNanos = 0)
        val record = AdmissionRecord(customer.copy(ratePerSecond = customer.ratePerSecond / 1.01))
        val spends = ArrayList<Triple<Long, Long, Int>>()
        for (millis in 0L..20_000L) {
            val nanos = millis * NANOS_PER_MILLI
            if (random.nextInt(if (millis / 2_500 % 2 == 0L) 1_000 else 20) == 0) {
                val endNanos = nanos + endMillis * NANOS_PER_MILLI
                val tokens = bucket.grant(millis, random.nextInt(1, 6) * 1_000, step = 1_000, nanos, endNanos) / 1_000
                spends += Triple(millis + random.nextInt(500), millis, tokens)
            }
            spends.filter { it.first == millis }.forEach { (_, id, tokens) ->
                val unspent = if (tokens > 0) random.nextInt(tokens) else 0
                repeat(tokens - unspent) { record.recordOutcome(isAdmitted = true, nanos) }
                if (random.nextBoolean()) bucket.releaseGrant(id, unspent * 1_000, nanos)
            }
        }
        return record.excess
    }

    @Test
    fun `refill has no drift over many small steps`() {
        val share = Share(rateMicrotokensPerSecond = 333_333, burstPicotokens = 1_000 * PICOTOKENS_PER_TOKEN)
        val stepped = TokenBucket(share, startNanos = 0)
        val whole = TokenBucket(share, startNanos = 0)
        for (nanos in 0..10 * NANOS_PER_SECOND step 7_777) stepped.levelTokens(nanos)
        expectThat(stepped.drain(10 * NANOS_PER_SECOND)).isEqualTo(whole.drain(10 * NANOS_PER_SECOND))
    }

    @Test
    fun `an expired grant stops limiting the refill only from its expiry`() {
        val bucket = TokenBucket(share(), startNanos = 0, initialLevelPicotokens = 10 * PICOTOKENS_PER_TOKEN)
        bucket.grant(grantId = 1, millitokens = 10_000, step = 1, nowNanos = 0, endNanos = NANOS_PER_SECOND)
        expectThat(bucket.drain(2 * NANOS_PER_SECOND)).isEqualTo(7 * PICOTOKENS_PER_TOKEN)
    }

    @Test
    fun `a smaller share drops the excess level immediately`() {
        val bucket = TokenBucket(share(), startNanos = 0, initialLevelPicotokens = 10 * PICOTOKENS_PER_TOKEN)
        bucket.grant(grantId = 1, millitokens = 2_000, step = 1, nowNanos = 0, endNanos = NANOS_PER_SECOND)
        bucket.updateShare(Share(1_000_000, 5 * PICOTOKENS_PER_TOKEN), nowNanos = 0)
        expectThat(bucket.levelTokens(0)).isEqualTo(3)
    }

    @Test
    fun `the shares of all buckets add up to the customer's rate and burst`() {
        for (domains in 1..9) {
            val layout = ShardLayout((1..domains).map { ShardLayout.Domain(domain("d$it"), 2) })
            for (burst in 0..20) {
                val shares = layout.shards.map { layout.shareOf(customer.copy(burst = burst), it) }
                expectThat(shares.sumOf { it.burstPicotokens }).isEqualTo(burst * PICOTOKENS_PER_TOKEN)
                val rate = shares.sumOf { it.rateMicrotokensPerSecond }
                expectThat(rate).isLessThanOrEqualTo(7_000_000L)
                if (burst > 0) expectThat(rate).isGreaterThan(7_000_000L - domains)
            }
        }
    }

    private fun domain(name: String) = ragwortbarrow.core.ids.FailureDomainId(name)

    private fun share() = Share(7_000_000, 10 * PICOTOKENS_PER_TOKEN)
}
