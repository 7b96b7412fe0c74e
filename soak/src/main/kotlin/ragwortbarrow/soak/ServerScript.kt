package ragwortbarrow.soak

import ragwortbarrow.standins.operators.RunnerBehaviour
import ragwortbarrow.standins.operators.RunnerRequest
import ragwortbarrow.standins.operators.SecondCopy
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Decides how the servers of a soak respond: mostly correctly, sometimes with a failure as real servers have it. */
internal class ServerScript(seed: Long) {
    private val random = Random(seed)

    /** Number of responses with status 500 by item. */
    val failures = ConcurrentHashMap<String, Int>()

    /** Statuses of the responses to each request, without those of second copies. */
    val statuses = ConcurrentHashMap<String, Set<Int>>()

    fun behaviour(request: RunnerRequest): RunnerBehaviour {
        val id = request.header("X-Request-Id").orEmpty()
        val (draw, copy) = synchronized(random) { random.nextInt(1_000) to drawCopy() }
        val response = response(request, id, draw)
        statusOf(response)?.let { status -> statuses.merge(id, setOf(status)) { old, new -> old + new } }
        val isCopied = copy != null && response is RunnerBehaviour.Repeatable
        return if (isCopied) RunnerBehaviour.Repeated(response, copy) else response
    }

    private fun drawCopy(): SecondCopy? = if (random.nextInt(100) < COPY_PERCENT) drawSecondCopy(random) else null

    private fun response(request: RunnerRequest, id: String, draw: Int): RunnerBehaviour = when {
        request.path.startsWith(ITEM_PREFIX) -> itemBehaviour(request.path, id, draw)
        draw < 8 -> RunnerBehaviour.Full
        request.path.startsWith(SoakKind.ASK.prefix) || request.path.startsWith(SoakKind.BLURB.prefix) ->
            streamBehaviour(id, draw)
        draw < 14 -> RunnerBehaviour.NoResponse
        draw < 20 -> RunnerBehaviour.Crossed(bodyOf(id))
        draw < 26 -> RunnerBehaviour.Unstamped(bodyOf(id))
        draw < 32 -> RunnerBehaviour.Truncated(bodyOf(id))
        draw < 50 -> RunnerBehaviour.Slow(bodyOf(id), delayMillis = 400)
        draw < 80 -> RunnerBehaviour.Plain(failureOf(id), status = 500)
        else -> RunnerBehaviour.Slow(bodyOf(id), delayMillis = 10)
    }

    private fun streamBehaviour(id: String, draw: Int) = when {
        draw < 20 -> RunnerBehaviour.Stream(EVENTS, EVENT_INTERVAL_MILLIS, breakAfter = draw)
        draw < 40 -> RunnerBehaviour.Stream(EVENTS, EVENT_INTERVAL_MILLIS, delayMillis = 500)
        draw < 70 -> RunnerBehaviour.Plain(failureOf(id), status = 500)
        else -> RunnerBehaviour.Stream(EVENTS, EVENT_INTERVAL_MILLIS, delayMillis = 20)
    }

    private fun itemBehaviour(path: String, id: String, draw: Int) = when {
        path.endsWith(POISON_SUFFIX) -> RunnerBehaviour.Plain("never", status = 422)
        draw < 10 -> RunnerBehaviour.Full
        draw < 30 -> RunnerBehaviour.Plain("failed", status = 500).also { failures.merge(id, 1, Int::plus) }
        draw < 60 -> RunnerBehaviour.Stream(ITEM_EVENTS, EVENT_INTERVAL_MILLIS, breakAfter = draw % ITEM_EVENTS)
        else -> RunnerBehaviour.Stream(ITEM_EVENTS, EVENT_INTERVAL_MILLIS)
    }

    private fun statusOf(response: RunnerBehaviour): Int? = when (response) {
        is RunnerBehaviour.Plain -> response.status
        RunnerBehaviour.Full -> 503
        RunnerBehaviour.NoResponse -> null
        else -> 200
    }

    companion object {
        const val ITEM_PREFIX = "/quote/"

        /** Path suffix of an item that fails on every server. */
        const val POISON_SUFFIX = "poison"
        const val EVENTS = 20
        const val ITEM_EVENTS = 40
        private const val EVENT_INTERVAL_MILLIS = 15L

        /** Share of responses that a server sends twice. */
        private const val COPY_PERCENT = 20

        fun bodyOf(requestId: String) = "answer to $requestId"

        fun failureOf(requestId: String) = "failure of $requestId"

        /** Output of a completed item: the data of all its events. */
        val ITEM_OUTPUT = (1..ITEM_EVENTS).joinToString("\n") { "piece $it" }
    }
}
