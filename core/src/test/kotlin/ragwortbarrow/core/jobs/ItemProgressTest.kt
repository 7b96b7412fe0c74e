package ragwortbarrow.core.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class ItemProgressTest {
    private val progress = ItemProgress(BatchItem("a", "/p/a"), maxAttempts = 3)

    @Test
    fun `the output continues where an interrupted run stopped`() {
        progress.appendEvent(1, "one")
        progress.appendEvent(2, "two")
        progress.applyOutcome(RunOutcome.Interrupted("stopped"))
        expectThat(progress.appendEvent(2, "two")).isTrue()
        progress.appendEvent(3, "three")
        progress.applyOutcome(RunOutcome.Completed)
        expectThat(progress.result).isEqualTo(ItemResult("a", isCompleted = true, output = "one\ntwo\nthree"))
    }

    @Test
    fun `a missing event is detected`() {
        progress.appendEvent(1, "one")
        expectThat(progress.appendEvent(3, "three")).isFalse()
    }

    @Test
    fun `an item fails after its last attempt, and interruptions do not count as attempts`() {
        repeat(2) { progress.applyOutcome(RunOutcome.Failed) }
        repeat(5) { progress.applyOutcome(RunOutcome.Interrupted("server full")) }
        expectThat(progress.result).isNull()
        progress.applyOutcome(RunOutcome.Failed)
        expectThat(progress.result).isEqualTo(ItemResult("a", isCompleted = false))
    }

    @Test
    fun `an item that can never succeed fails immediately`() {
        progress.applyOutcome(RunOutcome.Impossible)
        expectThat(progress.result).isEqualTo(ItemResult("a", isCompleted = false))
    }
}
