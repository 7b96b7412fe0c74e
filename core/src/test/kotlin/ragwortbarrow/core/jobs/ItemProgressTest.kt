package ragwortbarrow.core.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class ItemProgressTest {
    private val progress = ItemProgress(BatchItem("a", "/p/a"))

    @Test
    fun `the output continues where an interrupted run stopped`() {
        progress.appendEvent(1, "one")
        progress.appendEvent(2, "two")
        progress.applyOutcome(RunOutcome.Interrupted("stopped"), maxAttempts = 3)
        expectThat(progress.appendEvent(2, "two")).isTrue()
        progress.appendEvent(3, "three")
        progress.applyOutcome(RunOutcome.Completed, maxAttempts = 3)
        expectThat(progress.result).isEqualTo(ItemResult("a", isCompleted = true, output = "one\ntwo\nthree"))
    }

    @Test
    fun `a missing event is detected`() {
        progress.appendEvent(1, "one")
        expectThat(progress.appendEvent(3, "three")).isFalse()
    }

    @Test
    fun `an item fails after its last attempt, and interruptions do not count as attempts`() {
        repeat(2) { progress.applyOutcome(RunOutcome.Failed, maxAttempts = 3) }
        repeat(5) { progress.applyOutcome(RunOutcome.Interrupted("server full"), maxAttempts = 3) }
        expectThat(progress.result).isNull()
        progress.applyOutcome(RunOutcome.Failed, maxAttempts = 3)
        expectThat(progress.result).isEqualTo(ItemResult("a", isCompleted = false))
    }

    @Test
    fun `an item that can never succeed fails immediately`() {
        progress.applyOutcome(RunOutcome.Impossible, maxAttempts = 3)
        expectThat(progress.result).isEqualTo(ItemResult("a", isCompleted = false))
    }
}
