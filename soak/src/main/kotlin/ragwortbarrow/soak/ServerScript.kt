package ragwortbarrow.soak

import ragwortbarrow.standins.operators.RunnerBehaviour
import ragwortbarrow.standins.operators.RunnerRequest
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Decides how the servers of a soak respond: mostly correctly, sometimes with a failure as real servers have it. */
internal class ServerScript(seed: Long) {
    private val random = Random(seed)

    /** Number of responses with status 500 by item. */
    val failures = ConcurrentHashMap<String, Int>()

    fun behaviour(request: RunnerRequest): RunnerBehaviour {
        val draw = synchronized(random) { random.nextInt(1_000) }
        val id = request.header("X-Request-Id").orEmpty()
        return when {
            request.path.startsWith(ITEM_PREFIX) -> itemBehaviour(request.path, id, draw)
            draw < 8 -> RunnerBehaviour.Full
            request.path.startsWith(SoakKind.ASK.prefix) || request.path.startsWith(SoakKind.BLURB.prefix) ->
                streamBehaviour(draw)
            draw < 14 -> RunnerBehaviour.NoResponse
            draw < 20 -> RunnerBehaviour.Crossed(bodyOf(id))
            draw < 26 -> RunnerBehaviour.Unstamped(bodyOf(id))
            draw < 32 -> RunnerBehaviour.Truncated(bodyOf(id))
            draw < 50 -> RunnerBehaviour.Slow(bodyOf(id), delayMillis = 400)
            else -> RunnerBehaviour.Slow(bodyOf(id), delayMillis = 10)
        }
    }

    private fun streamBehaviour(draw: Int) = when {
        draw < 20 -> RunnerBehaviour.Stream(EVENTS, EVENT_INTERVAL_MILLIS, breakAfter = draw)
        draw < 40 -> RunnerBehaviour.Stream(EVENTS, EVENT_INTERVAL_MILLIS, delayMillis = 500)
        else -> RunnerBehaviour.Stream(EVENTS, EVENT_INTERVAL_MILLIS, delayMillis = 20)
    }

    private fun itemBehaviour(path: String, id: String, draw: Int) = when {
        path.endsWith(POISON_SUFFIX) -> RunnerBehaviour.Plain("never", status = 422)
        draw < 10 -> RunnerBehaviour.Full
        draw < 30 -> RunnerBehaviour.Plain("failed", status = 500).also { failures.merge(id, 1, Int::plus) }
        draw < 60 -> RunnerBehaviour.Stream(ITEM_EVENTS, EVENT_INTERVAL_MILLIS, breakAfter = draw % ITEM_EVENTS)
        else -> RunnerBehaviour.Stream(ITEM_EVENTS, EVENT_INTERVAL_MILLIS)
    }

    companion object {
        const val ITEM_PREFIX = "/quote/"

        /** Path suffix of an item that fails on every server. */
        const val POISON_SUFFIX = "poison"
        const val EVENTS = 20
        const val ITEM_EVENTS = 40
        private const val EVENT_INTERVAL_MILLIS = 15L

        fun bodyOf(requestId: String) = "answer to $requestId"

        /** Output of a completed item: the data of all its events. */
        val ITEM_OUTPUT = (1..ITEM_EVENTS).joinToString("\n") { "piece $it" }
    }
}
