package ragwortbarrow.core.batch

import ragwortbarrow.core.store.StoreFault
import ragwortbarrow.core.store.StoreFaultInjector
import ragwortbarrow.core.store.StoreOperation
import ragwortbarrow.core.time.pause
import kotlin.random.Random

/** Injects kills, freezes, outages, slow calls and lost replies at random times, all derived from one seed. */
internal class FaultSchedule(private val fleet: SimulatedFleet, seed: Long, private val lostReplyRate: Double = 0.05) {
    private val random = Random(seed)
    private var outage = false

    val faults = StoreFaultInjector { operation, _, _ ->
        fleet.timer.pause(if (random.nextInt(50) == 0) random.nextLong(2_000) else random.nextLong(20))
        when {
            outage -> StoreFault.Unavailable
            operation == StoreOperation.WRITE && random.nextDouble() < lostReplyRate -> StoreFault.ReplyLost
            else -> StoreFault.None
        }
    }

    /** Advances time by [spanMillis] while injecting faults, then ends all faults. */
    fun run(spanMillis: Long = 120_000) {
        fleet.faults = faults
        var leftMillis = spanMillis
        while (leftMillis > 0) {
            val stepMillis = random.nextLong(20, 6_000)
            fleet.timer.advance(stepMillis)
            leftMillis -= stepMillis
            inject()
        }
        outage = false
        fleet.nodes.values.toList().forEach { node ->
            if (node.frozen) node.unfreeze()
            if (node.killed) fleet.restart(node.info.vm)
        }
    }

    private fun inject() {
        val node = fleet.nodes.values.random(random)
        when (random.nextInt(5)) {
            0 -> if (node.killed) fleet.restart(node.info.vm) else node.kill()
            1 -> fleet.restart(node.info.vm)
            2, 3 -> if (node.frozen) {
                node.unfreeze()
            } else if (!node.killed) {
                node.freeze()
            }
            else -> outage = !outage && random.nextInt(3) == 0
        }
    }
}
