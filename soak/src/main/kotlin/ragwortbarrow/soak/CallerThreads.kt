package ragwortbarrow.soak

import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** Daemon threads that each run [call] with their number; [call] has to return once [isStopRequested]. */
internal class CallerThreads(private val name: String, private val count: Int, private val call: (Int) -> Unit) {
    private val stopRequested = AtomicBoolean()
    private var threads = emptyList<Thread>()

    /** Whether [stop] was called, so that each [call] should return. */
    val isStopRequested: Boolean get() = stopRequested.get()

    fun start() {
        threads = (1..count).map { number -> thread(isDaemon = true, name = "$name-$number") { call(number) } }
    }

    fun stop() {
        stopRequested.set(true)
        threads.forEach { it.join(STOP_TIMEOUT_MILLIS) }
    }

    private companion object {
        /** Longer than the calls that a caller makes before it checks [isStopRequested] again. */
        const val STOP_TIMEOUT_MILLIS = 15_000L
    }
}
