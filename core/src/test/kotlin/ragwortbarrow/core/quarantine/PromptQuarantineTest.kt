package ragwortbarrow.core.quarantine

import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class PromptQuarantineTest {
    private val timer = ManualTimerService()
    private val quarantine = PromptQuarantine(timer, DecisionLog.NONE)
    private var requests = 0
    private var crashes = 0

    private fun newRequestId() = "request-${++requests}"

    /** A server ends with these requests, and sound requests are answered before and after. */
    private fun crash(vararg prompts: List<String>, server: String = "server-${++crashes}") {
        for (parts in prompts) quarantine.recordDisconnect(BackendServerId(server), newRequestId(), parts)
        pass(1_000)
    }

    /** Passes [millis] in which requests with [answered] are answered. */
    private fun pass(millis: Long, answered: List<String> = listOf("common", "other")) {
        repeat((millis / STEP_MILLIS).toInt()) {
            quarantine.recordAnswer(answered)
            timer.advance(STEP_MILLIS)
            quarantine.update()
        }
    }

    private fun isRefused(part: String) = quarantine.quarantinedPart(listOf("common", part)) == part

    @Test
    fun `a part on which three servers crash is refused, and the part beside it is not`() {
        repeat(2) { crash(listOf("common", "harmful")) }
        pass(2_000)
        expectThat(quarantine.size).isEqualTo(0)
        crash(listOf("common", "harmful"))
        pass(2_000)
        expectThat(isRefused("harmful")).isEqualTo(true)
        expectThat(quarantine.quarantinedPart(listOf("common", "other"))).isNull()
        expectThat(quarantine.size).isEqualTo(1)
    }

    @Test
    fun `sound requests in flight at the same crashes are not refused`() {
        repeat(5) {
            if (it % 2 == 0) pass(500, answered = listOf("common", "rare"))
            crash(listOf("common", "harmful"), listOf("common", "rare"), listOf("common", "rare-$it"))
        }
        pass(2_000)
        expectThat(isRefused("harmful")).isEqualTo(true)
        pass(60_000, answered = listOf("common", "rare"))
        expectThat(isRefused("rare")).isEqualTo(false)
        expectThat(quarantine.size).isEqualTo(1)
    }

    @Test
    fun `of several parts that only crashed requests have, the one with the most crashes is refused`() {
        crash(listOf("common", "beside", "harmful"))
        crash(listOf("common", "beside", "harmful"))
        crash(listOf("common", "beside", "harmful"), listOf("common", "again"))
        crash(listOf("common", "harmful"), listOf("common", "again"))
        crash(listOf("common", "harmful", "again"))
        pass(2_000)
        expectThat(isRefused("harmful")).isEqualTo(true)
        expectThat(quarantine.size).isEqualTo(1)
    }

    /** All crashed requests have both parts; one of them was answered at another time. */
    @Test
    fun `of two parts that all crashed requests have, the one that was answered before is not refused`() {
        pass(1_000, answered = listOf("common", "sound"))
        pass(10_000)
        repeat(4) { crash(listOf("common", "harmful", "sound")) }
        pass(2_000)
        expectThat(isRefused("harmful")).isEqualTo(true)
        expectThat(isRefused("sound")).isEqualTo(false)
    }

    @Test
    fun `a part that was refused by mistake is served again once another part explains its crashes`() {
        repeat(3) { crash(listOf("common", "harmful", "sound")) }
        pass(2_000)
        expectThat(isRefused("sound")).isEqualTo(true)
        repeat(2) { crash(listOf("common", "harmful", "again-$it")) }
        pass(2_000)
        expectThat(isRefused("harmful")).isEqualTo(true)
        expectThat(isRefused("sound")).isEqualTo(false)
    }

    @Test
    fun `many servers that end at one moment quarantine nothing`() {
        repeat(40) {
            quarantine.recordDisconnect(BackendServerId("server-$it"), newRequestId(), listOf("common", "rare"))
        }
        pass(20_000)
        expectThat(quarantine.size).isEqualTo(0)
    }

    /** All servers ended within 400 ms, and again as soon as they were back. */
    @Test
    fun `a part on which servers crash one after the other in a moment is refused before they are back`() {
        repeat(8) {
            val server = BackendServerId("server-$it")
            quarantine.recordDisconnect(server, newRequestId(), listOf("common", "harmful"))
            quarantine.recordDisconnect(server, newRequestId(), listOf("common", "beside-$it"))
            timer.advance(40)
            quarantine.recordAnswer(listOf("common", "sound"))
        }
        repeat(20) {
            timer.advance(100)
            quarantine.update()
        }
        expectThat(isRefused("harmful")).isEqualTo(true)
        expectThat(quarantine.size).isEqualTo(1)
    }

    @Test
    fun `servers that all end one after the other quarantine nothing while no request is answered`() {
        repeat(6) {
            quarantine.recordDisconnect(BackendServerId("server-$it"), newRequestId(), listOf("common", "rare-$it"))
            timer.advance(500)
            quarantine.update()
        }
        timer.advance(2_000)
        quarantine.update()
        expectThat(quarantine.size).isEqualTo(0)
    }

    @Test
    fun `a server that closes many connections is one crash`() {
        repeat(5) { quarantine.recordDisconnect(BackendServerId("server"), newRequestId(), listOf("common", "rare")) }
        pass(1_000)
        crash(listOf("common", "rare"))
        pass(2_000)
        expectThat(quarantine.size).isEqualTo(0)
    }

    @Test
    fun `a part that was sound before and turns harmful is refused`() {
        pass(30_000, answered = listOf("common", "harmful"))
        repeat(4) { crash(listOf("common", "harmful")) }
        pass(2_000)
        expectThat(isRefused("harmful")).isEqualTo(true)
    }

    @Test
    fun `an answer to a part ends the suspicion`() {
        repeat(2) { crash(listOf("common", "rare")) }
        quarantine.recordAnswer(listOf("common", "rare"))
        repeat(2) { crash(listOf("common", "rare")) }
        pass(2_000)
        expectThat(quarantine.size).isEqualTo(0)
    }

    @Test
    fun `a part that stops being harmful is served again`() {
        repeat(3) { crash(listOf("common", "harmful")) }
        pass(130_000)
        expectThat(isRefused("harmful")).isEqualTo(false)
        pass(600_000, answered = listOf("common", "harmful"))
        expectThat(isRefused("harmful")).isEqualTo(false)
    }

    @Test
    fun `one crash after the release renews the quarantine for twice the time`() {
        repeat(3) { crash(listOf("common", "harmful")) }
        pass(130_000)
        crash(listOf("common", "harmful"))
        pass(200_000)
        expectThat(isRefused("harmful")).isEqualTo(true)
        pass(60_000)
        expectThat(isRefused("harmful")).isEqualTo(false)
    }

    @Test
    fun `a quarantined part that a server answers after all is served again`() {
        repeat(3) { crash(listOf("common", "harmful")) }
        pass(2_000)
        pass(100, answered = listOf("common", "harmful"))
        expectThat(isRefused("harmful")).isEqualTo(false)
    }

    @Test
    fun `a server that resets connections and goes on is no crash`() {
        repeat(10) {
            val server = BackendServerId("server-$it")
            quarantine.recordDisconnect(server, newRequestId(), listOf("common", "rare"))
            timer.advance(100)
            quarantine.recordActivity(server, inUseSinceMillis = 0)
            pass(1_000)
        }
        expectThat(quarantine.size).isEqualTo(0)
    }

    /** Bytes that were still buffered, and a server that is back at once. */
    @Test
    fun `bytes before the crash and after a fast restart do not hide it`() {
        repeat(3) {
            val server = BackendServerId("server-$it")
            quarantine.recordDisconnect(server, newRequestId(), listOf("common", "harmful"))
            quarantine.recordActivity(server, inUseSinceMillis = 0)
            timer.advance(100)
            quarantine.recordActivity(server, inUseSinceMillis = timer.nanoTime() / 1_000_000)
            pass(1_000)
        }
        pass(2_000)
        expectThat(isRefused("harmful")).isEqualTo(true)
    }

    @Test
    fun `memory stays bounded with many parts and many crashes`() {
        repeat(20_000) { quarantine.recordAnswer(listOf("part-$it", "part-${it + 1}")) }
        repeat(2_000) { round ->
            val parts = List(32) { "crash-$round-$it" }
            repeat(100) {
                quarantine.recordDisconnect(BackendServerId("server-$round"), newRequestId(), parts)
            }
            pass(400)
        }
        val evidence = quarantine.evidence()
        expectThat(evidence.crashes.size).isLessThanOrEqualTo(64)
        expectThat(evidence.answerAgesMillis.size).isLessThanOrEqualTo(256)
        expectThat(quarantine.size).isLessThanOrEqualTo(64)
    }

    /** [peer] tells this node what it knows, [ageMillis] ago. */
    private fun hear(peer: PromptQuarantine, ageMillis: Long = 100) = quarantine.merge(peer.evidence().aged(ageMillis))

    @Test
    fun `crashes that each node saw once count together`() {
        val peers = List(2) { PromptQuarantine(timer, DecisionLog.NONE) }
        for ((index, node) in (peers + quarantine).withIndex()) {
            node.recordDisconnect(BackendServerId("server-$index"), newRequestId(), listOf("common", "harmful"))
            repeat(5) {
                pass(200)
                peers.forEach { hear(it) }
            }
        }
        pass(2_000)
        expectThat(isRefused("harmful")).isEqualTo(true)
    }

    @Test
    fun `an answer at another node ends the suspicion`() {
        val peer = PromptQuarantine(timer, DecisionLog.NONE)
        repeat(4) {
            quarantine.recordDisconnect(BackendServerId("server-$it"), newRequestId(), listOf("common", "rare"))
            timer.advance(500)
            quarantine.recordAnswer(listOf("common", "other"))
            peer.merge(quarantine.evidence())
            peer.recordAnswer(listOf("common", "rare"))
            timer.advance(100)
            hear(peer)
            quarantine.update()
        }
        pass(2_000)
        expectThat(quarantine.size).isEqualTo(0)
    }

    /** The peer has not heard of the answer yet, and this node may be the only one with requests for the part. */
    @Test
    fun `a part that this node has answered since the last crash is not held because a peer holds it`() {
        val peer = PromptQuarantine(timer, DecisionLog.NONE)
        fun passAtPeer(millis: Long) = repeat((millis / STEP_MILLIS).toInt()) {
            peer.recordAnswer(listOf("common", "other"))
            timer.advance(STEP_MILLIS)
            peer.update()
        }
        repeat(3) {
            peer.recordDisconnect(BackendServerId("server-$it"), newRequestId(), listOf("common", "rare"))
            passAtPeer(500)
        }
        passAtPeer(300)
        quarantine.recordAnswer(listOf("common", "rare"))
        passAtPeer(600)
        expectThat(peer.quarantinedPart(listOf("rare"))).isNotNull()
        hear(peer)
        expectThat(quarantine.quarantinedPart(listOf("rare"))).isNull()
    }

    @Test
    fun `a restarted node takes a quarantine over, and it ends although nodes go on telling of it`() {
        repeat(3) { crash(listOf("common", "harmful")) }
        pass(2_000)
        val restarted = PromptQuarantine(timer, DecisionLog.NONE)
        restarted.merge(quarantine.evidence())
        expectThat(restarted.quarantinedPart(listOf("harmful"))).isNotNull()
        repeat(900) {
            timer.advance(200)
            restarted.update()
            quarantine.update()
            // Each message takes a while, so both nodes take the last crash for later than it was.
            val evidence = restarted.evidence()
            restarted.merge(quarantine.evidence())
            quarantine.merge(evidence)
        }
        expectThat(restarted.size + quarantine.size).isEqualTo(0)
    }

    private companion object {
        const val STEP_MILLIS = 100L
    }
}
