package ragwortbarrow.entry

import ragwortbarrow.core.fleet.FleetMembers
import ragwortbarrow.core.fleet.FleetNode
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.monotonicMillis

/**
 * Detects that this node may have counted as failed: another node was out of contact for as long as a failed one and is
 * back with the same process, all others were and one is back, or this process was paused. Calls [onRegained] then.
 */
internal class LostContact(
    private val members: FleetMembers,
    private val timer: TimerService,
    private val onRegained: () -> Unit,
) {
    /** Nodes out of contact, also those that are no longer members because the loss has lasted for so long. */
    private val lost = HashSet<FleetNode>()
    private var isIsolated = false
    private var checkedMonotonicMillis = timer.monotonicMillis()
    private var checkedWallMillis = timer.wallMillis()

    /** To be called several times a second. */
    fun check() {
        val wasIsolated = isIsolated
        val isBack = lost.any { members.mayRun(it.vm, it.incarnation) }
        lost.removeAll { members.isReachable(it.vm) }
        lost += members.others().filter { members.hasFailed(it.vm, it.incarnation) && !members.isReachable(it.vm) }
        isIsolated = lost.isNotEmpty() && members.reachable().isEmpty()
        // Read in each call, since the pause is measured from the previous one.
        val wasPaused = wasPaused()
        val isFirstContact = wasIsolated && !isIsolated
        if (wasPaused || isBack || isFirstContact) onRegained()
    }

    /** The monotonic clock stands still while a VM is suspended, the wall clock does not. */
    private fun wasPaused(): Boolean {
        val monotonicMillis = timer.monotonicMillis()
        val wallMillis = timer.wallMillis()
        val pauseMillis = maxOf(monotonicMillis - checkedMonotonicMillis, wallMillis - checkedWallMillis)
        checkedMonotonicMillis = monotonicMillis
        checkedWallMillis = wallMillis
        return pauseMillis > PAUSE_MILLIS
    }

    private companion object {
        /** Shorter than the silence after which other nodes take over the jobs of a node. */
        const val PAUSE_MILLIS = 3_000L
    }
}
