package ragwortbarrow.core.limits

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.lease.confirmLost
import ragwortbarrow.core.peer.LimitShardId
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** Tests that no schedule of faults admits more requests than rate and burst allow. */
class FleetFaultsTest {
    @Property(tries = 40, seed = "20261204", shrinking = ShrinkingMode.OFF)
    fun `no schedule of faults admits more than rate and burst allow`(@ForAll seed: Long) {
        val fleet = runFaults(seed, Safeguards.ALL)
        fleet.admissions.forEach { (customer, record) ->
            expectThat(record.excess).describedAs("excess of $customer").isLessThan(EPSILON)
            expectThat(record.admitted).describedAs("admissions of $customer").isGreaterThan(0)
        }
    }

    @TestFactory
    fun `more is admitted without`(): List<DynamicTest> = Safeguards.EACH_MISSING_ONE.map { (missing, safeguards) ->
        DynamicTest.dynamicTest(missing) {
            val isExceeded = (1L..30L).any { seed ->
                runFaults(seed, safeguards).admissions.values.any { it.excess > EPSILON }
            }
            expectThat(isExceeded).isTrue()
        }
    }

    private fun runFaults(seed: Long, safeguards: Safeguards): SimulatedFleet {
        val fleet = SimulatedFleet(seed, safeguards)
        fleet.run(millis = 3_000, demand = 0.5)
        repeat(10) {
            val fault = Fault.entries.random(fleet.random)
            val undo = fault.begin(fleet)
            // Idle phases fill the buckets, so that lost tokens do not hide a later excess.
            val demand = if (fleet.random.nextInt(3) == 0) 0.1 else 4.0
            fleet.run(millis = fleet.random.nextLong(500, 9_000), demand = demand)
            undo()
        }
        fleet.run(millis = 10_000, demand = 4.0)
        fleet.close()
        return fleet
    }

    /** A fault. [begin] starts it and returns a function that ends it. */
    private enum class Fault(val begin: (SimulatedFleet) -> () -> Unit) {
        VM_RESTARTED({ fleet ->
            fleet.restart(fleet.live().random(fleet.random));
            {}
        }),
        VM_LOST_AND_REPLACED({ fleet ->
            val lost = fleet.live().random(fleet.random)
            lost.kill();
            { fleet.boot(VmId("${lost.info.vm}r"), lost.info.failureDomain, 1) }
        }),
        OWNER_FROZEN({ fleet ->
            val frozen = fleet.live().filter { it.service.ownedShards.isNotEmpty() }.randomOrNull(fleet.random)
            frozen?.timer?.isFrozen = true;
            { frozen?.timer?.resume() }
        }),
        VM_STOPPED_GRACEFULLY({ fleet ->
            val stopped = fleet.live().random(fleet.random)
            stopped.scope.launch { stopped.service.stop() };
            { fleet.restart(stopped) }
        }),
        DOMAINS_CUT({ fleet ->
            val (one, other) = fleet.domains.shuffled(fleet.random)
            fleet.cut(one, other);
            { fleet.heal(one, other) }
        }),
        OWNER_CUT_FROM_PLATFORM({ fleet ->
            val owners = fleet.live().filter { it.service.ownedShards.isNotEmpty() }
            owners.forEach { it.isPlatformCut = true };
            { owners.forEach { it.isPlatformCut = false } }
        }),
        PLATFORM_OUTAGE({ fleet ->
            val cut = fleet.live().onEach { it.isPlatformCut = true };
            { cut.forEach { it.isPlatformCut = false } }
        }),
        MESSAGES_LOST_AND_SLOW({ fleet ->
            fleet.lossPercent = 15
            fleet.slowPercent = 15;
            {
                fleet.lossPercent = 0
                fleet.slowPercent = 0
            }
        }),
        CONFIGURATION_CHANGED({ fleet ->
            val count = fleet.random.nextInt(1, fleet.domains.size + 1)
            fleet.configure(fleet.snapshot(fleet.snapshot.version + 1, fleet.domains.take(count)));
            {}
        }),
        DOMAIN_LOST_AND_CONFIRMED({ fleet ->
            val domain = fleet.domains.random(fleet.random)
            val lost = fleet.live().filter { it.info.failureDomain == domain }.onEach { it.kill() }
            CoroutineScope(Dispatchers.Unconfined).launch {
                val version = fleet.snapshot.version
                confirmLost(fleet.store, LimitShardId(domain, 0), "operator-$version", version, fleet.snapshot.manifest)
            };
            { lost.forEach { fleet.boot(it.info.vm, domain, it.info.incarnation + 1) } }
        }),
    }

    private companion object {
        const val EPSILON = 1e-6
    }
}
