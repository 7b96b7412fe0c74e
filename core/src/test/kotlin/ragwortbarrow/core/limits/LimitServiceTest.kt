package ragwortbarrow.core.limits

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.LimitShardRecord
import ragwortbarrow.core.lease.confirmLost
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.peer.AcquireItem
import ragwortbarrow.core.peer.AcquireReply
import ragwortbarrow.core.peer.AcquireRequest
import ragwortbarrow.core.peer.LimitShardId
import ragwortbarrow.core.store.ObjectKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Tests that the limits admit requests again after each fault, instead of staying safe by refusing everything. */
class LimitServiceTest {
    private val customer = Customer(CustomerId("c"), ratePerSecond = 30.0, burst = 30)
    private val fleet = SimulatedFleet(seed = 1, customers = listOf(customer))
    private val shard = LimitShardId(fleet.domains[0], 0)
    private val owner get() = fleet.live().single { shard in it.service.ownedShards }

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a customer within its rate is admitted on every VM`() {
        fill()
        fleet.run(millis = 10_000, demand = 0.7)
        expectThat(refusedSinceFill()).isEqualTo(0)
    }

    @Test
    fun `all tokens of the fleet can be used in one failure domain`() {
        fill()
        val before = fleet.admissions.getValue(customer.id).admitted
        repeat(60) { fleet.request(owner, customer.id) }
        fleet.timer.advance(200)
        expectThat(fleet.admissions.getValue(customer.id).admitted - before).isIn(29..36)
    }

    @Test
    fun `a customer over its rate is told when to retry`() {
        fill()
        repeat(60) { fleet.request(owner, customer.id) }
        val error = admit(owner)
        expectThat(error?.code).isEqualTo(ResultCode.RATE_EXCEEDED)
        expectThat(error?.retryAfterMillis).isNotNull().isIn(1L..1_000L)
    }

    @Test
    fun `the standby takes over from a killed owner within two terms`() {
        fill()
        val killed = owner
        killed.kill()
        fleet.run(millis = 9_000, demand = 0.3)
        expectThat(owner.info.vm).isNotEqualTo(killed.info.vm)
        expectThat(refusedSinceFill()).isLessThan(5)
    }

    @Test
    fun `a frozen owner that resumes after the takeover grants nothing`() {
        fill()
        val frozen = owner
        frozen.timer.isFrozen = true
        fleet.timer.advance(12_000)
        val successor = owner
        frozen.timer.resume()
        expectThat(frozen.service.ownedShards).isEqualTo(emptyList())
        fleet.timer.advance(3_000)
        expectThat(owner).isEqualTo(successor)
    }

    @Test
    fun `promises extend the lease during an outage of the platform`() {
        fill()
        val before = owner
        fleet.live().forEach { it.isPlatformCut = true }
        fleet.run(millis = 60_000, demand = 0.7)
        expectThat(refusedSinceFill()).isEqualTo(0)
        fleet.live().forEach { it.isPlatformCut = false }
        fleet.timer.advance(10_000)
        expectThat(owner).isEqualTo(before)
    }

    @Test
    fun `a failure domain without any connection admits requests from its own bucket`() {
        fill()
        fleet.domains.drop(1).forEach { fleet.cut(fleet.domains[0], it) }
        fleet.live().filter { it.info.failureDomain == fleet.domains[0] }.forEach { it.isPlatformCut = true }
        fleet.timer.advance(30_000)
        expectThat(admit(owner)).isNull()
        expectThat(fleet.live().first { it !== owner && it.info.failureDomain == shard.failureDomain })
            .get { admit(this) }.isNull()
    }

    @Test
    fun `a restarted owner claims its shard immediately with a new fencing number`() {
        fill()
        val restarted = owner
        fleet.restart(restarted)
        fleet.timer.advance(100)
        expectThat(owner.info.vm).isEqualTo(restarted.info.vm)
        expectThat(owner.info.incarnation).isEqualTo(2)
        expectThat(record().fencingNumber).isEqualTo(2)
    }

    @Test
    fun `a graceful stop hands the level over to the standby`() {
        fill()
        val stopped = owner
        stopped.scope.launch { stopped.service.stop() }
        fleet.timer.advance(100)
        expectThat(owner.info.vm).isNotEqualTo(stopped.info.vm)
        fleet.domains.drop(1).forEach { fleet.cut(fleet.domains[0], it) }
        val before = fleet.admissions.getValue(customer.id).admitted
        repeat(10) { fleet.request(owner, customer.id) }
        fleet.timer.advance(50)
        expectThat(fleet.admissions.getValue(customer.id).admitted - before).isEqualTo(10)
    }

    @Test
    fun `a shard whose owner and standby are lost is claimed only after the operator's confirmation`() {
        fill()
        val domain = fleet.live().filter { it.info.failureDomain == shard.failureDomain }
        domain.forEach { it.kill() }
        val replacement = fleet.boot(VmId("replacement"), shard.failureDomain, 1)
        fleet.timer.advance(60_000)
        expectThat(replacement.service.ownedShards).isEqualTo(emptyList())
        expectThat(admit(replacement)).isNull()
        runBlocking { confirmLost(fleet.store, shard, "operator-1", 1, fleet.snapshot.manifest) }
        fleet.timer.advance(20_000)
        expectThat(replacement.service.ownedShards).contains(shard)
    }

    @Test
    fun `a standby that restarted during an outage of the platform makes no promise`() {
        fill()
        val holder = owner
        val standby = fleet.live().single { it.info.vm == record().standby }
        fleet.live().forEach { it.isPlatformCut = true }
        fleet.restart(standby)
        fleet.live().last().isPlatformCut = true
        fleet.timer.advance(10_000)
        expectThat(holder.service.ownedShards).isEqualTo(emptyList())
        fleet.live().forEach { it.isPlatformCut = false }
        fleet.timer.advance(10_000)
        expectThat(owner.info.failureDomain).isEqualTo(shard.failureDomain)
    }

    @Test
    fun `a larger share is used only after every owner has adopted the new layout`() {
        fill()
        val late = fleet.live().first {
            it.info.failureDomain == fleet.domains[2] && it.service.ownedShards.isNotEmpty()
        }
        late.timer.isFrozen = true
        fleet.configure(fleet.snapshot(2, fleet.domains.take(1)))
        fleet.timer.advance(6_000)
        expectThat(levelAt(shard)).isIn(0..10)
        late.timer.resume()
        fleet.timer.advance(20_000)
        expectThat(levelAt(shard)).isEqualTo(30)
    }

    @Test
    fun `a node that was frozen while a grant was in flight does not spend it`() {
        fill()
        val entry = fleet.live().first { it.info.failureDomain == shard.failureDomain && it !== owner }
        repeat(10) { fleet.request(entry, customer.id) }
        // The first call requests one token. The second requests nine for the waiting requests; its reply arrives while
        // the node is frozen.
        fleet.timer.advance(3)
        entry.timer.isFrozen = true
        fleet.timer.advance(5_000)
        entry.timer.resume()
        repeat(60) { fleet.request(owner, customer.id) }
        fleet.timer.advance(100)
        val record = fleet.admissions.getValue(customer.id)
        expectThat(record.excess).isLessThan(1e-6)
        expectThat(record.excess).isGreaterThan(-3.0)
    }

    @Test
    fun `requests that wait for a call in flight share the next one`() {
        fill()
        val entry = fleet.live().first { it.info.failureDomain == shard.failureDomain && it !== owner }
        val before = fleet.acquireCalls
        repeat(8) { fleet.request(entry, customer.id) }
        fleet.timer.advance(50)
        expectThat(fleet.acquireCalls - before).isEqualTo(2)
    }

    @Test
    fun `a node that reaches no owner reports that the limits are unavailable`() {
        val alone = pair()
        alone.live().first { it.service.ownedShards.isNotEmpty() }.kill()
        val error = admit(alone.live().single(), alone, withinMillis = LimitSettings().admissionWaitMillis + 1_000)
        expectThat(error?.code).isEqualTo(ResultCode.LIMITS_UNAVAILABLE)
        alone.close()
    }

    @Test
    fun `a request waits for an owner that answers late`() {
        val fleet = pair()
        val late = fleet.live().first { it.service.ownedShards.isNotEmpty() }
        late.timer.isFrozen = true
        fleet.timer.once(LATE_MILLIS) { late.timer.resume() }
        val asker = fleet.live().first { it !== late }
        expectThat(admit(asker, fleet, withinMillis = LimitSettings().admissionWaitMillis)).isNull()
        fleet.close()
    }

    /** Two nodes in a single failure domain, after one of them has claimed the shard and its bucket has filled. */
    private fun pair() = SimulatedFleet(seed = 1, domainCount = 1, vmsPerDomain = 2, customers = listOf(customer))
        .also { it.timer.advance(20_000) }

    private var refusedBefore = 0

    /** Waits until the owners have claimed their shards and the buckets are full. */
    private fun fill() {
        fleet.timer.advance(20_000)
        expectThat(fleet.live().flatMap { it.service.ownedShards }.map { it.failureDomain })
            .containsExactlyInAnyOrder(fleet.domains)
        refusedBefore = fleet.admissions.getValue(customer.id).refused
    }

    private fun refusedSinceFill() = fleet.admissions.getValue(customer.id).refused - refusedBefore

    private fun admit(
        process: SimulatedProcess,
        inFleet: SimulatedFleet = fleet,
        withinMillis: Long = 1_000,
    ): ServingError? {
        var error: ServingError? = null
        var isAnswered = false
        process.scope.launch {
            error = process.service.limiter.admit(customer.id).getError()
            isAnswered = true
        }
        inFleet.timer.advance(withinMillis)
        expectThat(isAnswered).isEqualTo(true)
        return error
    }

    private fun record() = runBlocking {
        LimitShardRecord.of(checkNotNull(fleet.store.get(ObjectKind.LIMIT_SHARDS, shard.toString()).get()))
    }

    /** The level in the owner's reply to a request for no tokens. */
    private fun levelAt(shard: LimitShardId): Int = runBlocking {
        val request = AcquireRequest(
            requester = VmId("test"),
            shard = shard,
            items = listOf(AcquireItem(customer.id, 0)),
            isLoan = true,
        )
        val reply = owner.service.acquire(request).get() as AcquireReply.Granted
        reply.grants.single().levelTokens
    }

    private companion object {
        /** Longer than the call timeouts of all owners together, so that the first round of calls cannot succeed. */
        const val LATE_MILLIS = 900L
    }
}
