package ragwortbarrow.cli.bench

import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.manifest.Customer
import kotlin.math.ln
import kotlin.random.Random

/**
 * Poisson arrivals of eight customers, a few of them large, each skewed over the VMs by a Zipf distribution that starts
 * at another VM. One customer sends [overload] times its rate, and the others [utilization] of theirs.
 */
internal class LimitsWorkload(
    seed: Long,
    private val vmCount: Int,
    private val utilization: Double,
    private val overload: Double,
) {
    private val random = Random(seed)
    private val weights = DoubleArray(vmCount) { 1.0 / (it + 1) }

    val customers = listOf(120.0, 100.0, 80.0, 20.0, 10.0, 5.0, 5.0, 2.0).mapIndexed { index, rate ->
        Customer(CustomerId("c$index"), ratePerSecond = rate, burst = (2 * rate).toInt())
    }
    val overloading = customers[OVERLOADING]

    fun nextArrivalNanos(customer: Customer): Long {
        val demand = if (customer == overloading) overload else utilization
        return (-ln(1 - random.nextDouble()) / (customer.ratePerSecond * demand) * 1e9).toLong()
    }

    /** The VM that the next request of [customer] reaches, one of those for which [isAlive] holds. */
    fun nextVm(customer: Customer, isAlive: (Int) -> Boolean): Int {
        while (true) {
            var place = random.nextDouble() * weights.sum()
            val rank = weights.indexOfFirst { weight ->
                place -= weight
                place < 0
            }.coerceAtLeast(0)
            val vm = (rank + customers.indexOf(customer)) % vmCount
            if (isAlive(vm)) return vm
        }
    }

    private companion object {
        const val OVERLOADING = 2
    }
}
