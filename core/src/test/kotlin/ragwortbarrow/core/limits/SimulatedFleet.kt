package ragwortbarrow.core.limits

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.time.ManualTimerService
import java.lang.reflect.Proxy
import kotlin.random.Random

/** A fleet in virtual time on a single thread, so that each seed reproduces the same run. */
internal class SimulatedFleet(
    seed: Long,
    private val safeguards: Safeguards = Safeguards.ALL,
    domainCount: Int = 3,
    private val vmsPerDomain: Int = 2,
    val customers: List<Customer> = CUSTOMERS,
) {
    val random = Random(seed)
    val timer = ManualTimerService()
    val store = InMemoryObjectStore()
    val events = ArrayList<String>()
    val admissions = customers.associate { it.id to AdmissionRecord(it) }
    var lossPercent = 0
    var acquireCalls = 0
    var slowPercent = 0
    private val background = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
    private val cuts = HashSet<Set<FailureDomainId>>()
    private val configurations = HashMap<VmId, ConfigurationSnapshot>()
    private val listeners = HashMap<SimulatedProcess, (ConfigurationSnapshot) -> Unit>()
    val domains = (1..domainCount).map { FailureDomainId("d$it") }
    var snapshot = snapshot(version = 1, domains)
    val processes = ArrayList<SimulatedProcess>()
    val unusedPeer = Proxy.newProxyInstance(javaClass.classLoader, arrayOf(PeerService::class.java)) { _, method, _ ->
        error("${method.name} is not used by limits")
    } as PeerService

    init {
        domains.forEach { domain -> repeat(vmsPerDomain) { boot(VmId("$domain-vm$it"), domain, 1) } }
        gossip()
    }

    fun snapshot(version: Long, domains: List<FailureDomainId>) = ConfigurationSnapshot(
        version,
        Manifest(
            "test",
            Fleet(
                domains.map {
                    FailureDomain(it)
                },
            ),
            customers = customers,
        ),
    )

    fun boot(vm: VmId, domain: FailureDomainId, incarnation: Long): SimulatedProcess {
        val info = MemberInfo(vm, incarnation, 0, domain, "$vm:1", "$vm:2")
        val speed = 1.0 + random.nextInt(-10, 11) / 1_000.0
        return SimulatedProcess(this, info, speed, safeguards).also {
            processes += it
            it.service.start()
        }
    }

    fun live(): List<SimulatedProcess> = processes.filter { it.isAlive }

    fun restart(process: SimulatedProcess) {
        process.kill()
        boot(process.info.vm, process.info.failureDomain, process.info.incarnation + 1)
    }

    /** Activates [next] on all live processes, on each after a random delay. */
    fun configure(next: ConfigurationSnapshot) {
        snapshot = next
        live().forEach { process ->
            process.timer.once(random.nextLong(0, 4_000)) {
                if (configurationOf(process.info.vm).version < next.version) {
                    configurations[process.info.vm] = next
                    listeners[process]?.invoke(next)
                }
            }
        }
    }

    fun configurationOf(vm: VmId): ConfigurationSnapshot = configurations.getOrPut(vm) { snapshot }

    fun subscribe(process: SimulatedProcess, listener: (ConfigurationSnapshot) -> Unit) {
        listeners[process] = listener
        listener(configurationOf(process.info.vm))
    }

    fun cut(one: FailureDomainId, other: FailureDomainId): Boolean = cuts.add(setOf(one, other))

    fun heal(one: FailureDomainId, other: FailureDomainId): Boolean = cuts.remove(setOf(one, other))

    fun isCut(one: MemberInfo, other: MemberInfo): Boolean = setOf(one.failureDomain, other.failureDomain) in cuts

    fun isMessageLost(): Boolean = random.nextInt(100) < lossPercent

    fun delayMillis(): Long = if (random.nextInt(100) < slowPercent) random.nextLong(1, 1_200) else 1

    suspend fun <T> runDetached(block: suspend () -> T): T = background.async { block() }.await()

    fun processAt(address: String): SimulatedProcess? = live().lastOrNull { it.info.peerAddress == address }

    fun log(process: MemberInfo, event: String, fields: List<Pair<String, Any?>>) {
        events += "${timer.nanoTime() / 1_000_000} ${process.vm}/${process.incarnation} $event $fields"
    }

    /** Sends one request of [customer] to [process] and records whether it is admitted. */
    fun request(process: SimulatedProcess, customer: CustomerId) {
        if (!process.isAlive || process.timer.isFrozen) return
        process.scope.launch {
            val admitted = process.service.limiter.admit(customer).isOk
            admissions.getValue(customer).recordOutcome(admitted, timer.nanoTime())
        }
    }

    /** Advances the time by [millis] while each customer sends [demand] times its rate to random processes. */
    fun run(millis: Long, demand: Double) {
        repeat(millis.toInt()) {
            for (customer in customers) {
                if (random.nextDouble() < customer.ratePerSecond * demand / 1_000) {
                    live().randomOrNull(random)?.let { request(it, customer.id) }
                }
            }
            timer.advance(1)
        }
    }

    fun close() {
        processes.forEach { it.kill() }
        background.cancel()
    }

    private fun gossip() {
        val running = live().filterNot { it.timer.isFrozen }
        for (from in running) {
            for (to in running) {
                if (from !== to && !isCut(from.info, to.info) && !isMessageLost()) to.members.receiveGossip(from)
            }
        }
        timer.once(500) { gossip() }
    }

    companion object {
        /** One customer whose burst is soon spent, and one whose burst exceeds the refill of a lease term. */
        val CUSTOMERS = listOf(
            Customer(CustomerId("shallow"), ratePerSecond = 40.0, burst = 8),
            Customer(CustomerId("deep"), ratePerSecond = 8.0, burst = 90),
        )
    }
}

/** Compares the admissions of a customer with its rate and burst, for every interval that ends at an admission. */
internal class AdmissionRecord(private val customer: Customer) {
    private var lastNanos = 0L
    private var bucketLevel = 0.0
    var admitted = 0
        private set
    var refused = 0
        private set

    /** The largest excess of any interval over burst + rate * interval. */
    var excess = Double.NEGATIVE_INFINITY
        private set

    fun recordOutcome(isAdmitted: Boolean, nanos: Long) {
        if (!isAdmitted) {
            refused++
            return
        }
        admitted++
        // The processes' clocks are up to 1% fast, so the rate may be exceeded by that much on this clock.
        bucketLevel = (bucketLevel - customer.ratePerSecond * 1.01 * (nanos - lastNanos) / 1e9).coerceAtLeast(0.0) + 1
        lastNanos = nanos
        excess = maxOf(excess, bucketLevel - customer.burst)
    }
}
