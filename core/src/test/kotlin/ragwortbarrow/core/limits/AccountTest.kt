package ragwortbarrow.core.limits

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.limits.Share.Companion.TOKEN
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.NANOS_PER_SECOND
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Guards the arithmetic of a single account, on which the invariant of the whole fleet rests. */
class AccountTest {
    private val customer = Customer(CustomerId("c"), ratePerSecond = 7.0, burst = 10)

    @Property(tries = 300, seed = "7", shrinking = ShrinkingMode.OFF)
    fun `tokens spent late, lost or returned never exceed rate and burst`(@ForAll seed: Long) {
        expectThat(worstExcess(seed, endMillis = 550)).isLessThanOrEqualTo(0.0)
    }

    @Test
    fun `a grant that ends before it has certainly expired admits too much`() {
        expectThat((1L..50L).maxOf { worstExcess(it, endMillis = 50) }).isGreaterThan(0.0)
    }

    /** Spends each grant at a random instant of its validity of 500 ms, and reports only some of them. */
    private fun worstExcess(seed: Long, endMillis: Long): Double {
        val random = Random(seed)
        val account = Account(share(), startNanos = 0)
        val record = AdmissionRecord(customer.copy(ratePerSecond = customer.ratePerSecond / 1.01))
        val spends = ArrayList<Triple<Long, Long, Int>>()
        for (millis in 0L..20_000L) {
            val nanos = millis * NANOS_PER_MILLI
            if (random.nextInt(if (millis / 2_500 % 2 == 0L) 1_000 else 20) == 0) {
                val endNanos = nanos + endMillis * NANOS_PER_MILLI
                val tokens = account.grant(millis, random.nextInt(1, 6) * 1_000, step = 1_000, nanos, endNanos) / 1_000
                spends += Triple(millis + random.nextInt(500), millis, tokens)
            }
            spends.filter { it.first == millis }.forEach { (_, id, tokens) ->
                val unspent = if (tokens > 0) random.nextInt(tokens) else 0
                repeat(tokens - unspent) { record.note(isAdmitted = true, nanos) }
                if (random.nextBoolean()) account.settle(id, unspent * 1_000, nanos)
            }
        }
        return record.excess
    }

    @Test
    fun `refill has no drift over many small steps`() {
        val share = Share(rateMicrotokensPerSecond = 333_333, burstPicotokens = 1_000 * TOKEN)
        val stepped = Account(share, startNanos = 0)
        val whole = Account(share, startNanos = 0)
        for (nanos in 0..10 * NANOS_PER_SECOND step 7_777) stepped.levelTokens(nanos)
        expectThat(stepped.drain(10 * NANOS_PER_SECOND)).isEqualTo(whole.drain(10 * NANOS_PER_SECOND))
    }

    @Test
    fun `an expired grant gives room for refill only from its expiry on`() {
        val account = Account(share(), startNanos = 0, levelPicotokens = 10 * TOKEN)
        account.grant(grantId = 1, millitokens = 10_000, step = 1, nowNanos = 0, endNanos = NANOS_PER_SECOND)
        expectThat(account.drain(2 * NANOS_PER_SECOND)).isEqualTo(7 * TOKEN)
    }

    @Test
    fun `a smaller share drops what is above it at once`() {
        val account = Account(share(), startNanos = 0, levelPicotokens = 10 * TOKEN)
        account.grant(grantId = 1, millitokens = 2_000, step = 1, nowNanos = 0, endNanos = NANOS_PER_SECOND)
        account.change(Share(1_000_000, 5 * TOKEN), nowNanos = 0)
        expectThat(account.levelTokens(0)).isEqualTo(3)
    }

    @Test
    fun `the shares of all accounts add up to the customer's rate and burst`() {
        for (domains in 1..9) {
            val layout = ShardLayout((1..domains).map { ShardLayout.Domain(domain("d$it"), 2) })
            for (burst in 0..20) {
                val shares = layout.shards.map { layout.shareOf(customer.copy(burst = burst), it) }
                expectThat(shares.sumOf { it.burstPicotokens }).isEqualTo(burst * TOKEN)
                val rate = shares.sumOf { it.rateMicrotokensPerSecond }
                expectThat(rate).isLessThanOrEqualTo(7_000_000L)
                if (burst > 0) expectThat(rate).isGreaterThan(7_000_000L - domains)
            }
        }
    }

    private fun domain(name: String) = ragwortbarrow.core.ids.FailureDomainId(name)

    private fun share() = Share(7_000_000, 10 * TOKEN)
}
