package ragwortbarrow.core.time

/**
 * Opens when a condition first holds, or [limitMillis] after it was first asked, and then stays open.
 *
 * A node that starts waits for what it needs to serve well, but not for ever: what can be served without it goes on.
 * What is lost later is no reason to close again, because other nodes usually lose it at the same time.
 */
class StartupGate(
    private val timer: TimerService,
    private val limitMillis: Long = 15_000,
    private val condition: () -> Boolean,
) {
    @Volatile
    private var firstAskedNanos: Long? = null

    @Volatile
    private var opened = false

    /** Whether the gate is open; asking may open it. */
    val isOpen: Boolean
        get() {
            if (opened) return true
            val now = timer.nanoTime()
            val since = firstAskedNanos ?: now.also { firstAskedNanos = it }
            opened = condition() || now - since >= limitMillis * NANOS_PER_MILLI
            return opened
        }
}
