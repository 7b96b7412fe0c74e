package ragwortbarrow.soak

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** Monotonic time in milliseconds; all times of a soak are taken from it. */
internal fun nowMillis(): Long = System.nanoTime() / 1_000_000

/** Sleeps in real time: the processes under test use the machine's clock, so faults and callers must too. */
internal fun pause(millis: Long) = TimeUnit.MILLISECONDS.sleep(millis)

/** Records when each target was affected by a fault. */
internal class Disturbances {
    private class Span(val targets: Set<String>, val fromMillis: Long) {
        @Volatile
        var untilMillis = Long.MAX_VALUE

        fun overlaps(from: Long, until: Long): Boolean = fromMillis <= until && untilMillis >= from
    }

    private val spans = ConcurrentLinkedQueue<Span>()

    /** Records that a fault of [targets] begins; the returned function records its end. */
    fun begin(targets: Set<String>): () -> Unit {
        val span = Span(targets, nowMillis()).also { spans += it }
        return { span.untilMillis = nowMillis() }
    }

    fun isUndisturbed(target: String, fromMillis: Long, untilMillis: Long): Boolean =
        spans.none { target in it.targets && it.overlaps(fromMillis, untilMillis) }

    fun isEverythingUndisturbed(fromMillis: Long, untilMillis: Long): Boolean =
        spans.none { it.targets.isNotEmpty() && it.overlaps(fromMillis, untilMillis) }
}
