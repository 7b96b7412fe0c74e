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

/** Several ledgers that exchange reports as nodes do, in virtual time. */
class CustomerRateLimiterTest {
    private val timer = ManualTimerService()
    private val customer = CustomerAccount(CustomerId("mill"), setOf("k"), ratePerSecond = 20.0, burst = 20.0)
    private val limitInWindow = 20.0 * 5 + 20
    private val toleratedInWindow = limitInWindow * 1.1 + 20

    /** Nodes whose reports reach the others after [lagPeriods] periods. */
    private inner class Fleet(size: Int, private val lagPeriods: Int = 1) {
        val ledgers = (0 until size).associate {
            VmId("vm$it") to CustomerRateLimiter(timer, WINDOW_MILLIS, Random(it))
        }
        private val underWay = ArrayDeque<Map<VmId, Map<CustomerId, CustomerUsage>>>()
        val admittedAtMillis = ArrayList<Long>()
        var silent: (VmId, VmId) -> Boolean = { _, _ -> false }

        fun exchange() {
            underWay += ledgers.mapValues { it.value.usage() }
            if (underWay.size < lagPeriods) return
            val reports = underWay.removeFirst()
            for ((to, ledger) in ledgers) {
                for ((from, report) in reports) if (from != to && !silent(from, to)) ledger.updatePeer(from, report)
            }
        }

        /** Offers [perSecond] requests spread at random over the nodes for [seconds]; returns how many were refused. */
        fun offer(perSecond: Int, seconds: Int, random: Random): Int {
            var refused = 0
            for (millis in 1..seconds * 1_000) {
                timer.advance(1)
                if (millis % PERIOD_MILLIS == 0) exchange()
                if (random.nextDouble() >= perSecond / 1_000.0) continue
                val (vm, ledger) = ledgers.entries.random(random)
                val unreachableNodes = ledgers.keys.count { it != vm && silent(it, vm) }
                if (ledger.admit(customer, ledgers.size, unreachableNodes).isAdmitted) {
                    admittedAtMillis += timer.nanoTime() / 1_000_000
                } else {
                    refused++
                }
            }
            return refused
        }

        fun mostInWindow(): Int {
            var from = 0
            return admittedAtMillis.indices.maxOf { to ->
                while (admittedAtMillis[to] - admittedAtMillis[from] >= WINDOW_MILLIS) from++
                to - from + 1
            }
        }
    }

    @Test
    fun `a customer within its rate is not refused at any node`() {
        val refused = Fleet(9).offer(perSecond = 12, seconds = 60, random = Random(1))
        expectThat(refused).isEqualTo(0)
    }

    @Test
    fun `a customer that sends eight times its rate stays within the tolerance over all nodes`() {
        val fleet = Fleet(9)
        fleet.offer(perSecond = 160, seconds = 30, random = Random(2))
        expectThat(fleet.mostInWindow().toDouble()).isLessThanOrEqualTo(toleratedInWindow)
        expectThat(fleet.mostInWindow().toDouble()).isGreaterThan(limitInWindow * 0.8)
    }

    @Test
    fun `a customer that jumps to eight times its load stays within the tolerance over seventy nodes`() {
        val fleet = Fleet(74, lagPeriods = LONGEST_LAG_PERIODS)
        fleet.offer(perSecond = 13, seconds = 10, random = Random(5))
        fleet.offer(perSecond = 98, seconds = 10, random = Random(5))
        expectThat(fleet.mostInWindow().toDouble()).isLessThanOrEqualTo(toleratedInWindow)
        expectThat(fleet.mostInWindow().toDouble()).isGreaterThan(limitInWindow * 0.8)
    }

    @Test
    fun `a customer within its rate is not refused at any of seventy nodes`() {
        val refused = Fleet(
            74,
            lagPeriods = LONGEST_LAG_PERIODS,
        ).offer(perSecond = 12, seconds = 60, random = Random(1))
        expectThat(refused).isEqualTo(0)
    }

    @Test
    fun `two halves that do not hear each other do not both spend the whole`() {
        val fleet = Fleet(8)
        fleet.offer(perSecond = 160, seconds = 10, random = Random(3))
        fleet.silent = { a, b -> (a.value.last() - '0') / 4 != (b.value.last() - '0') / 4 }
        fleet.offer(perSecond = 160, seconds = 30, random = Random(3))
        expectThat(fleet.mostInWindow().toDouble()).isLessThanOrEqualTo(toleratedInWindow)
    }

    @Test
    fun `what a node reported before it fell silent leaves the window too`() {
        val ledger = CustomerRateLimiter(timer, WINDOW_MILLIS)
        ledger.updatePeer(VmId("vm1"), mapOf(customer.id to CustomerUsage(admitted = 100)))
        expectThat(ledger.admit(customer, 2, 1).used).isEqualTo(100)
        timer.advance(WINDOW_MILLIS)
        expectThat(ledger.admit(customer, 2, 1).isAdmitted).isEqualTo(true)
    }

    @Test
    fun `a customer without a limit is always admitted`() {
        val ledger = CustomerRateLimiter(timer, WINDOW_MILLIS)
        val unlimited = customer.copy(ratePerSecond = 0.0)
        expectThat((1..1_000).count { ledger.admit(unlimited, 9, 8).isAdmitted }).isEqualTo(1_000)
    }

    @Test
    fun `a request that was taken back does not count`() {
        val ledger = CustomerRateLimiter(timer, WINDOW_MILLIS)
        repeat(500) { if (ledger.admit(customer, 1, 0).isAdmitted) ledger.refund(customer.id) }
        expectThat(ledger.admit(customer, 1, 0).used).isEqualTo(0)
    }

    @Test
    fun `what was admitted leaves the window with its time`() {
        val ledger = CustomerRateLimiter(timer, WINDOW_MILLIS)
        val first = (1..500).count { ledger.admit(customer, 1, 0).isAdmitted }
        expectThat(first).isEqualTo(limitInWindow.toInt())
        timer.advance(WINDOW_MILLIS + 200)
        ledger.usage()
        expectThat(ledger.admit(customer, 1, 0).used).isEqualTo(0)
    }

    private companion object {
        const val WINDOW_MILLIS = 5_000L
        const val PERIOD_MILLIS = 200

        /** A report over two relays in different failure domains takes 600 ms at most. */
        const val LONGEST_LAG_PERIODS = 3
    }
}
