package ragwortbarrow.core.quarantine

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

/** Nodes that hold batch items with a quarantined part, and hear of each other every 400 ms. */
class PartTrialsTest {
    private val timer = ManualTimerService()
    private val nodes = ArrayList<Node>()
    private var requests = 0

    /** Nodes of different groups do not hear of each other. */
    private inner class Node(vararg val items: HeldItem, var group: Int = 0) {
        var quarantine = PromptQuarantine(timer, DecisionLog.NONE)
        var isPaused = false

        /** Whether a server has room for an item of this node. */
        var hasRoom = true
        val sent = ArrayList<String>()

        init {
            nodes += this
        }

        /** Starts the trial that is due, whose outcome is [outcome]. */
        fun rebalance(outcome: (Node, HeldItem) -> Unit) {
            quarantine.update()
            val held = items.filter { quarantine.heldPart(it.sharedParts) != null }
            val isInMajority = nodes.count { it.group == group } * 2 > nodes.size
            quarantine.updateHeldItems(if (isInMajority) held else emptyList())
            val due = held.firstOrNull { hasRoom && quarantine.isTrialDue(it) } ?: return
            sent += due.id
            val parts = quarantine.startTrial(due.sharedParts)
            expectThat(parts.isEmpty()).isEqualTo(false)
            outcome(this, due)
        }
    }

    private fun item(id: String, vararg parts: String = arrayOf("blamed")) = HeldItem(id, listOf("common", *parts))

    /** Passes [millis]; requests with other parts are answered meanwhile. */
    private fun pass(millis: Long, outcome: (Node, HeldItem) -> Unit = ::crash) {
        repeat((millis / STEP_MILLIS).toInt()) { step ->
            timer.advance(STEP_MILLIS)
            for (node in nodes.filterNot { it.isPaused }) {
                node.quarantine.recordAnswer(listOf("common", "other"))
                node.rebalance(outcome)
            }
            if (step % STEPS_PER_REPORT == 0) exchange()
        }
    }

    private fun exchange() {
        val reports = nodes.filterNot { it.isPaused }.map { it.group to it.quarantine.evidence() }
        for (node in nodes.filterNot { it.isPaused }) {
            reports.filter { it.first == node.group }.forEach { node.quarantine.merge(it.second.aged(50)) }
        }
    }

    private fun crash(node: Node, item: HeldItem) =
        node.quarantine.recordDisconnect(BackendServerId("trial-${++requests}"), "request-$requests", item.sharedParts)

    private fun answer(node: Node, item: HeldItem) = node.quarantine.recordAnswer(item.sharedParts)

    /** Three servers end while requests with [parts] are there, and each node takes the part for harmful. */
    private fun blame(vararg parts: String = arrayOf("blamed")) {
        repeat(3) {
            val id = "request-${++requests}"
            nodes[0].quarantine.recordDisconnect(BackendServerId("server-$it"), id, listOf("common", *parts))
            pass(1_000)
        }
        pass(500)
        for (node in nodes) expectThat(node.quarantine.size).isEqualTo(1)
    }

    private val allSent get() = nodes.flatMap { it.sent }

    @Test
    fun `one answered trial of the first held item frees a part at all nodes`() {
        repeat(3) { Node(item("item-${2 - it}")) }
        blame()
        pass(5_000, ::answer)
        expectThat(allSent).containsExactly("item-0")
        pass(1_000, ::answer)
        for (node in nodes) expectThat(node.quarantine.size).isEqualTo(0)
        pass(20_000, ::answer)
        for (node in nodes) expectThat(node.quarantine.size).isEqualTo(0)
    }

    @Test
    fun `a node that was restarted frees the part at all nodes as well`() {
        repeat(3) { Node(item("item-${2 - it}")) }
        blame()
        // The reports of the crashes are no longer sent.
        pass(12_000)
        nodes[2].quarantine = PromptQuarantine(timer, DecisionLog.NONE)
        pass(30_000, ::answer)
        for (node in nodes) expectThat(node.quarantine.size).isEqualTo(0)
    }

    @Test
    fun `three failed trials are the last ones, one at a time and further and further apart`() {
        repeat(4) { Node(item("item-$it-a"), item("item-$it-b")) }
        blame()
        pass(7_000)
        expectThat(allSent.size).isEqualTo(1)
        pass(3_000)
        expectThat(allSent.size).isEqualTo(1)
        pass(90_000)
        expectThat(allSent.size).isEqualTo(3)
    }

    @Test
    fun `after the end of a quarantine held items are sent one at a time until one is answered`() {
        repeat(4) { Node(item("item-$it-a"), item("item-$it-b")) }
        blame()
        pass(100_000)
        expectThat(allSent.size).isEqualTo(3)
        pass(100_000)
        expectThat(allSent.size).isEqualTo(4)
        for (node in nodes) expectThat(node.quarantine.quarantinedPart(listOf("blamed"))).isEqualTo("blamed")
        pass(190_000)
        expectThat(allSent.size).isEqualTo(4)
        pass(60_000, ::answer)
        expectThat(allSent.size).isEqualTo(5)
        for (node in nodes) expectThat(node.quarantine.heldPart(listOf("blamed"))).isNull()
    }

    @Test
    fun `held items are released at last although no trial could be sent`() {
        Node(item("item")).hasRoom = false
        blame()
        pass(200_000)
        expectThat(nodes[0].quarantine.quarantinedPart(listOf("blamed"))).isNull()
        expectThat(nodes[0].quarantine.heldPart(listOf("blamed"))).isEqualTo("blamed")
        pass(50_000)
        expectThat(nodes[0].quarantine.heldPart(listOf("blamed"))).isNull()
    }

    @Test
    fun `another node tries if the one with the first item has no room for it`() {
        repeat(3) { Node(item("item-$it")) }
        nodes[0].hasRoom = false
        blame()
        pass(25_000, ::answer)
        expectThat(allSent).containsExactly("item-1")
        for (node in nodes) expectThat(node.quarantine.size).isEqualTo(0)
    }

    @Test
    fun `no trial is sent while the servers that ended may not be back`() {
        Node(item("item"))
        blame()
        pass(2_000)
        expectThat(allSent).isEmpty()
    }

    @Test
    fun `trials whose outcome is unknown count as failed ones`() {
        repeat(2) { Node(item("item-$it")) }
        blame()
        pass(100_000) { _, _ -> }
        expectThat(allSent.size).isEqualTo(3)
    }

    @Test
    fun `a trial that no server got is repeated after a pause`() {
        repeat(2) { Node(item("item-$it")) }
        blame()
        pass(30_000) { node, item -> node.quarantine.returnTrial(item.sharedParts.toSet()) }
        expectThat(allSent.size).isGreaterThan(5)
        expectThat(allSent.size).isLessThanOrEqualTo(10)
        pass(100_000)
        for (node in nodes) expectThat(node.quarantine.quarantinedPart(listOf("blamed"))).isEqualTo("blamed")
    }

    @Test
    fun `nodes that are cut off from most others send no trial`() {
        repeat(5) { Node(item("item-$it")) }
        blame()
        nodes.take(2).forEach { it.group = 1 }
        pass(90_000)
        expectThat(nodes.take(2).flatMap { it.sent }).isEmpty()
        expectThat(allSent.size).isEqualTo(3)
    }

    @Test
    fun `a fleet without a majority sends no trial`() {
        repeat(4) { Node(item("item-$it")) }
        blame()
        nodes.take(2).forEach { it.group = 1 }
        pass(90_000)
        expectThat(allSent).isEmpty()
    }

    /** The item of the paused node is the first one again as soon as it goes on. */
    @Test
    fun `a node that was paused sends no trial beside the one of another node`() {
        repeat(3) { Node(item("item-$it")) }
        blame()
        nodes[0].isPaused = true
        var paused = 0
        while (nodes.drop(1).all { it.sent.isEmpty() } && paused++ < 200) pass(100) { _, _ -> }
        nodes[0].isPaused = false
        pass(7_000) { _, _ -> }
        expectThat(allSent).containsExactly("item-1")
    }

    @Test
    fun `nodes that all restart one after the other do not forget failed trials`() {
        repeat(3) { Node(item("item-$it")) }
        blame()
        pass(6_000)
        for (node in nodes) {
            node.quarantine = PromptQuarantine(timer, DecisionLog.NONE)
            pass(5_000)
        }
        pass(80_000)
        expectThat(allSent.size).isEqualTo(3)
    }

    /** A crash at an item with another harmful part would say nothing of the blamed one. */
    @Test
    fun `the item with the fewest suspected parts is tried first, and the harmful part beside is found`() {
        val node = Node(item("item-0", "blamed", "harmful"), item("item-1"))
        blame("harmful", "blamed")
        pass(4_500) { sender, item -> if ("harmful" in item.sharedParts) crash(sender, item) else answer(sender, item) }
        expectThat(allSent).containsExactly("item-1")
        expectThat(node.quarantine.quarantinedPart(listOf("blamed"))).isNull()
        expectThat(node.quarantine.quarantinedPart(listOf("harmful"))).isEqualTo("harmful")
    }

    private companion object {
        const val STEP_MILLIS = 100L
        const val STEPS_PER_REPORT = 4
    }
}
