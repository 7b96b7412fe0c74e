package ragwortbarrow.entry

import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.placement.ServerSpeeds
import ragwortbarrow.core.time.NANOS_PER_MILLI
import ragwortbarrow.core.time.TimerService

/** Records the times between the events of one stream of [server], from which its speed is known. */
internal class StreamTiming(
    private val speeds: ServerSpeeds,
    private val server: BackendServerId,
    private val timer: TimerService,
) {
    private var lastEventNanos: Long? = null

    /** Records the events that arrived together; those without data are not output of a model. */
    fun recordEvents(events: List<StreamEvent>) {
        val count = events.count { it.hasData }
        if (count == 0) return
        val nowNanos = timer.nanoTime()
        lastEventNanos?.let { speeds.recordEvents(server, count, (nowNanos - it) / NANOS_PER_MILLI.toDouble()) }
        lastEventNanos = nowNanos
    }

    /** Events that the server sent while the caller did not read arrive at once and show nothing of its speed. */
    fun recordPause(nanos: Long) {
        if (nanos > NANOS_PER_MILLI) lastEventNanos = null
    }
}
