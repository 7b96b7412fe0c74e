package ragwortbarrow.core.placement

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn

class ServerSpeedsTest {
    private val timer = ManualTimerService()
    private val ids = listOf("a", "b", "c").map { BackendServerId(it) }
    private val node = newNode()
    private val other = newNode()

    private fun newNode() = ServerTracker(timer).apply {
        replace(ids.map { BackendServer(it, "engines", "10.0.0.1:80", FailureDomainId("dalton"), slots = 8) })
    }.speeds

    /** The [other] node reads streams of all servers at once, and reports them twice a second. */
    private fun stream(millis: Long, eventMillis: Map<String, Double>, isInTouch: Boolean = true) {
        repeat((millis / REPORT_MILLIS).toInt()) {
            for (id in ids) {
                val ofServer = eventMillis[id.value] ?: USUAL_EVENT_MILLIS
                other.recordEvents(id, (REPORT_MILLIS * STREAMS / ofServer).toInt(), REPORT_MILLIS * STREAMS.toDouble())
            }
            timer.advance(REPORT_MILLIS)
            if (isInTouch) node.updatePeer(VmId("other"), other.localTimings())
        }
    }

    @Test
    fun `a server that turns slow is noticed from reports and counts as usual again when it has recovered`() {
        stream(4_000, emptyMap())
        expectThat(node.slowness(ids[0])).isEqualTo(1.0)
        stream(4_000, mapOf("a" to 5 * USUAL_EVENT_MILLIS))
        expectThat(node.slowness(ids[0])).isIn(2.5..5.0)
        expectThat(node.slowServers).isEqualTo(1)
        stream(4_500, emptyMap())
        expectThat(node.slowness(ids[0])).isEqualTo(1.0)
    }

    @Test
    fun `servers that differ by a tenth count as equally fast`() {
        stream(4_000, mapOf("a" to 1.1 * USUAL_EVENT_MILLIS, "b" to 0.9 * USUAL_EVENT_MILLIS))
        expectThat(ids.map { node.slowness(it) }).isEqualTo(listOf(1.0, 1.0, 1.0))
    }

    @Test
    fun `a few events say nothing of a server`() {
        stream(4_000, emptyMap())
        node.recordEvents(ids[0], count = 2, millis = 200.0)
        expectThat(node.slowness(ids[0])).isEqualTo(1.0)
    }

    @Test
    fun `the last report of a node that cannot be reached any more is forgotten`() {
        stream(4_000, mapOf("a" to 5 * USUAL_EVENT_MILLIS))
        stream(4_500, mapOf("a" to 5 * USUAL_EVENT_MILLIS), isInTouch = false)
        expectThat(node.slowness(ids[0])).isEqualTo(1.0)
    }

    private companion object {
        const val USUAL_EVENT_MILLIS = 30.0
        const val REPORT_MILLIS = 500L
        const val STREAMS = 3
    }
}
