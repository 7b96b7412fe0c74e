package ragwortbarrow.soak

import ragwortbarrow.standins.operators.RunnerBehaviour
import ragwortbarrow.standins.operators.RunnerRequest
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** How the servers of a soak answer: mostly well, at times in each of the ways in which servers fail. */
internal class ServerScript(seed: Long) {
    private val random = Random(seed)

    /** Answers of 500 by item. */
    val failures = ConcurrentHashMap<String, Int>()

    fun behaviour(request: RunnerRequest): RunnerBehaviour {
        val draw = synchronized(random) { random.nextInt(1_000) }
        val id = request.header("X-Request-Id").orEmpty()
        return when {
            request.path.startsWith(ITEM_PREFIX) -> item(request.path, id, draw)
            draw < 8 -> RunnerBehaviour.Full
            request.path.startsWith(SoakKind.ASK.prefix) || request.path.startsWith(SoakKind.BLURB.prefix) ->
                stream(draw)
            draw < 14 -> RunnerBehaviour.NoResponse
            draw < 20 -> RunnerBehaviour.Crossed(bodyOf(id))
            draw < 26 -> RunnerBehaviour.Unstamped(bodyOf(id))
            draw < 32 -> RunnerBehaviour.Truncated(bodyOf(id))
            draw < 50 -> RunnerBehaviour.Slow(bodyOf(id), delayMillis = 400)
            else -> RunnerBehaviour.Slow(bodyOf(id), delayMillis = 10)
        }
    }

    private fun stream(draw: Int) = when {
        draw < 20 -> RunnerBehaviour.Stream(EVENTS, GAP_MILLIS, breakAfter = draw)
        draw < 40 -> RunnerBehaviour.Stream(EVENTS, GAP_MILLIS, delayMillis = 500)
        else -> RunnerBehaviour.Stream(EVENTS, GAP_MILLIS, delayMillis = 20)
    }

    private fun item(path: String, id: String, draw: Int) = when {
        path.endsWith(POISON) -> RunnerBehaviour.Plain("never", status = 422)
        draw < 10 -> RunnerBehaviour.Full
        draw < 30 -> RunnerBehaviour.Plain("failed", status = 500).also { failures.merge(id, 1, Int::plus) }
        draw < 60 -> RunnerBehaviour.Stream(ITEM_EVENTS, GAP_MILLIS, breakAfter = draw % ITEM_EVENTS)
        else -> RunnerBehaviour.Stream(ITEM_EVENTS, GAP_MILLIS)
    }

    companion object {
        const val ITEM_PREFIX = "/quote/"

        /** The end of the path of an item that no server can do. */
        const val POISON = "poison"
        const val EVENTS = 20
        const val ITEM_EVENTS = 40
        private const val GAP_MILLIS = 15L

        fun bodyOf(requestId: String) = "answer to $requestId"

        /** The output of an item that was done: the data of all its events. */
        val ITEM_OUTPUT = (1..ITEM_EVENTS).joinToString("\n") { "piece $it" }
    }
}
