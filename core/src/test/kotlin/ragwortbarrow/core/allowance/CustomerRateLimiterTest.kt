package ragwortbarrow.core.allowance

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.traffic.CustomerAccount
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Several rate limiters that exchange reports like nodes, in virtual time. */
class CustomerRateLimiterTest {
    private val timer = ManualTimerService()
    private val customer = CustomerAccount(CustomerId("mill"), setOf("k"), ratePerSecond = 20.0, burst = 20.0)
    private val limitInWindow = 20.0 * 5 + 20
    private val toleratedInWindow = limitInWindow * 1.1 + 20

    /** Nodes whose reports reach the others after [lagPeriods] exchange periods. */
    private inner class Fleet(size: Int, private val lagPeriods: Int = 1) {
        val limiters =
            (0 until size).associate { VmId("vm$it") to CustomerRateLimiter(timer, WINDOW_MILLIS, Random(it)) }
        private val reportsInTransit = ArrayDeque<Map<VmId, Map<CustomerId, CustomerUsage>>>()
        val admittedAtMillis = ArrayList<Long>()
        var isCutOff: (VmId, VmId) -> Boolean = { _, _ -> false }

        fun exchange() {
            reportsInTransit += limiters.mapValues { it.value.usage() }
            if (reportsInTransit.size < lagPeriods) return
            val reports = reportsInTransit.removeFirst()
            for ((to, limiter) in limiters) {
                for ((from, report) in reports) if (from != to && !isCutOff(from, to)) limiter.updatePeer(from, report)
            }
        }

        /** Sends [perSecond] requests to random nodes for [seconds]; returns the number of rejected ones. */
        fun offer(perSecond: Int, seconds: Int, random: Random): Int {
            var rejected = 0
            for (millis in 1..seconds * 1_000) {
                timer.advance(1)
                if (millis % PERIOD_MILLIS == 0) exchange()
                if (random.nextDouble() >= perSecond / 1_000.0) continue
                val (vm, limiter) = limiters.entries.random(random)
                val unreachableNodes = limiters.keys.count { it != vm && isCutOff(it, vm) }
                if (limiter.admit(customer, limiters.size, unreachableNodes).isAdmitted) {
                    admittedAtMillis += timer.nanoTime() / 1_000_000
                } else {
                    rejected++
                }
            }
            return rejected
        }

        fun maxInWindow(): Int {
            var from = 0
            return admittedAtMillis.indices.maxOf { to ->
                while (admittedAtMillis[to] - admittedAtMillis[from] >= WINDOW_MILLIS) from++
                to - from + 1
            }
        }
    }

    @Test
    fun `a customer within its rate is not rejected at any node`() {
        val rejected = Fleet(9).offer(perSecond = 12, seconds = 60, random = Random(1))
        expectThat(rejected).isEqualTo(0)
    }

    @Test
    fun `a customer that sends eight times its rate stays within the tolerance over all nodes`() {
        val fleet = Fleet(9)
        fleet.offer(perSecond = 160, seconds = 30, random = Random(2))
        expectThat(fleet.maxInWindow().toDouble()).isLessThanOrEqualTo(toleratedInWindow)
        expectThat(fleet.maxInWindow().toDouble()).isGreaterThan(limitInWindow * 0.8)
    }

    @Test
    fun `a customer whose load jumps to eight times stays within the tolerance over seventy nodes`() {
        val fleet = Fleet(74, lagPeriods = LONGEST_LAG_PERIODS)
        fleet.offer(perSecond = 13, seconds = 10, random = Random(5))
        fleet.offer(perSecond = 98, seconds = 10, random = Random(5))
        expectThat(fleet.maxInWindow().toDouble()).isLessThanOrEqualTo(toleratedInWindow)
        expectThat(fleet.maxInWindow().toDouble()).isGreaterThan(limitInWindow * 0.8)
    }

    @Test
    fun `a customer within its rate is not rejected at any of seventy nodes`() {
        val rejected = Fleet(
            74,
            lagPeriods = LONGEST_LAG_PERIODS,
        ).offer(perSecond = 12, seconds = 60, random = Random(1))
        expectThat(rejected).isEqualTo(0)
    }

    @Test
    fun `two halves of a partitioned fleet do not both use the whole limit`() {
        val fleet = Fleet(8)
        fleet.offer(perSecond = 160, seconds = 10, random = Random(3))
        fleet.isCutOff = { a, b -> (a.value.last() - '0') / 4 != (b.value.last() - '0') / 4 }
        fleet.offer(perSecond = 160, seconds = 30, random = Random(3))
        expectThat(fleet.maxInWindow().toDouble()).isLessThanOrEqualTo(toleratedInWindow)
    }

    @Test
    fun `the last report of an unreachable node leaves the window too`() {
        val limiter = CustomerRateLimiter(timer, WINDOW_MILLIS)
        limiter.updatePeer(VmId("vm1"), mapOf(customer.id to CustomerUsage(admitted = 100)))
        expectThat(limiter.admit(customer, 2, 1).used).isEqualTo(100)
        timer.advance(WINDOW_MILLIS)
        expectThat(limiter.admit(customer, 2, 1).isAdmitted).isEqualTo(true)
    }

    @Test
    fun `a customer without a limit is always admitted`() {
        val limiter = CustomerRateLimiter(timer, WINDOW_MILLIS)
        val unlimited = customer.copy(ratePerSecond = 0.0)
        expectThat((1..1_000).count { limiter.admit(unlimited, 9, 8).isAdmitted }).isEqualTo(1_000)
    }

    @Test
    fun `a refunded request does not count`() {
        val limiter = CustomerRateLimiter(timer, WINDOW_MILLIS)
        repeat(500) { if (limiter.admit(customer, 1, 0).isAdmitted) limiter.refund(customer.id) }
        expectThat(limiter.admit(customer, 1, 0).used).isEqualTo(0)
    }

    @Test
    fun `admitted requests leave the window after its length`() {
        val limiter = CustomerRateLimiter(timer, WINDOW_MILLIS)
        val admitted = (1..500).count { limiter.admit(customer, 1, 0).isAdmitted }
        expectThat(admitted).isEqualTo(limitInWindow.toInt())
        timer.advance(WINDOW_MILLIS + 200)
        limiter.usage()
        expectThat(limiter.admit(customer, 1, 0).used).isEqualTo(0)
    }

    private companion object {
        const val WINDOW_MILLIS = 5_000L
        const val PERIOD_MILLIS = 200

        /** A report through two relays in different failure domains takes at most 600 ms. */
        const val LONGEST_LAG_PERIODS = 3
    }
}
