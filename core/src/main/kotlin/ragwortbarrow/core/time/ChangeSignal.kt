package ragwortbarrow.core.time

import kotlinx.coroutines.CompletableDeferred

/** Wakes the coroutines that wait for the next change of some state. Confined to one thread. */
class ChangeSignal {
    private var waiters: CompletableDeferred<Unit>? = null

    /** Suspends until the next call of [raise]. */
    suspend fun await() = (waiters ?: CompletableDeferred<Unit>().also { waiters = it }).await()

    fun raise() {
        waiters?.complete(Unit)
        waiters = null
    }
}
