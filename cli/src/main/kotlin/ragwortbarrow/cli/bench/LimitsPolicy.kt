package ragwortbarrow.cli.bench

import ragwortbarrow.core.manifest.Customer

/** A way to hold rates over the fleet, as the simulation drives it. */
internal interface LimitsPolicy {
    val name: String

    /** Messages between VMs so far; a call and its reply are two. */
    val messages: Long

    /** Asks for one token at [vm]; [done] gets the answer, or is never called when the VM is lost meanwhile. */
    fun request(vm: Int, customer: Customer, done: (Boolean) -> Unit)

    /** Loses the VM whose loss hurts most, and returns it. */
    fun loseVm(): Int
}

/** Each VM has an equal share of rate and burst. A lost VM's share is missing, since the list of VMs lags. */
internal class StaticShares(private val timer: VirtualTimer, customers: List<Customer>, private val vmCount: Int) :
    LimitsPolicy {
    override val name = "static shares per VM"
    override val messages = 0L
    private val buckets = customers.associateWith { customer ->
        List(vmCount) { TokenBucket(customer.ratePerSecond / vmCount, customer.burst.toDouble() / vmCount) }
    }

    override fun request(vm: Int, customer: Customer, done: (Boolean) -> Unit) =
        done(buckets.getValue(customer)[vm].tryTake(timer.nanoTime()))

    override fun loseVm(): Int = 0
}
