package ragwortbarrow.core.time

/**
 * Opens when [condition] first holds, or [limitMillis] after it was first checked, and then stays open.
 *
 * A starting node waits for its dependencies, but not forever, because some requests can be served without them. It
 * does not close when a dependency is lost later, because other nodes usually lose it at the same time.
 */
class StartupGate(
    private val timer: TimerService,
    private val limitMillis: Long = 15_000,
    private val condition: () -> Boolean,
) {
    @Volatile
    private var firstCheckNanos: Long? = null

    @Volatile
    private var hasOpened = false

    /** Whether the gate is open. Reading it checks the condition and may open the gate. */
    val isOpen: Boolean
        get() {
            if (hasOpened) return true
            val now = timer.nanoTime()
            val since = firstCheckNanos ?: now.also { firstCheckNanos = it }
            hasOpened = condition() || now - since >= limitMillis * NANOS_PER_MILLI
            return hasOpened
        }
}
