package ragwortbarrow.core.membership

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import ragwortbarrow.core.config.ConfigurationStatus
import ragwortbarrow.core.config.SwitchedFaults
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Tests the lease whose expiry lets other nodes take over this node's chunks. */
class VmLeaseRenewerTest {
    private val timer = ManualTimerService()
    private val faults = SwitchedFaults()
    private val store = InMemoryObjectStore(faults)
    private var status = ConfigurationStatus()

    @Test
    fun `the lease is renewed and reports the configuration`() = runTest {
        val keeper = keeper(incarnation = 1)
        run(0)
        val first = lease()
        status = ConfigurationStatus(appliedVersion = 3, rejectedVersion = 4, rejectedReason = "slots")
        run(10_000)
        expectThat(lease().renewal).isEqualTo(first.renewal + 1)
        expectThat(lease()).and {
            get { appliedVersion }.isEqualTo(3)
            get { rejectedVersion }.isEqualTo(4)
            get { rejectedReason }.isEqualTo("slots")
        }
        expectThat(keeper.isHeld()).isTrue()
    }

    @Test
    fun `the lease is not held from shortly before its expiry, and is held again after an outage`() = runTest {
        val keeper = keeper(incarnation = 1)
        run(0)
        faults.outage = true
        run(28_000)
        expectThat(keeper.isHeld()).isTrue()
        run(1_500)
        expectThat(keeper.isHeld()).isFalse()
        faults.outage = false
        run(8_000)
        expectThat(keeper.isHeld()).isTrue()
    }

    @Test
    fun `the lease stays held if replies are lost`() = runTest {
        faults.loseWriteReplies = true
        val keeper = keeper(incarnation = 1)
        run(60_000)
        expectThat(keeper.isHeld()).isTrue()
    }

    @Test
    fun `an older incarnation stops renewing and does not delete a newer one's lease`() = runTest {
        val older = keeper(incarnation = 1)
        run(0)
        keeper(incarnation = 2)
        run(0)
        run(12_000)
        expectThat(older.isHeld()).isFalse()
        older.stop()
        expectThat(lease().incarnation).isEqualTo(2)
    }

    @Test
    fun `a graceful stop releases the lease`() = runTest {
        val keeper = keeper(incarnation = 1)
        run(15_000)
        keeper.stop()
        expectThat(store.get(ObjectKind.VM_LEASES, "vm-1").getError()).isA<StoreError.NotFound>()
        expectThat(keeper.isHeld()).isFalse()
    }

    private fun TestScope.keeper(incarnation: Long) = VmLeaseRenewer(
        store = store,
        writer = IdempotentWriter(store, timer, "vm-1/$incarnation"),
        timer = timer,
        scope = backgroundScope,
        self = MemberInfo(VmId("vm-1"), incarnation, 1, FailureDomainId("dalton"), "10.0.0.1:7401", "10.0.0.1:8080"),
        configurationStatus = { status },
    ).also { it.start() }

    private suspend fun lease() = VmLease.of(store.get(ObjectKind.VM_LEASES, "vm-1").unwrap())

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun TestScope.run(millis: Long) {
        runCurrent()
        repeat((millis / 100).toInt()) {
            timer.advance(100)
            runCurrent()
        }
    }
}
