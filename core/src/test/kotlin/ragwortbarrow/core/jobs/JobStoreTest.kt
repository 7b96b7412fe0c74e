package ragwortbarrow.core.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.fold
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import ragwortbarrow.core.store.FaultyWrites
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class JobStoreTest {
    private val timer = ManualTimerService()
    private val store = InMemoryObjectStore()

    private fun jobStore(name: String, store: ObjectStore = this.store) =
        JobStore(store, IdempotentWriter(store, timer, name))

    /** Guards against a node that starts a job which was ended while the answer to its takeover was lost. */
    @Test
    fun `an update whose reply was lost returns the state that replaced it`() = runTest {
        val faulty = FaultyWrites(store)
        faulty.faults += { send ->
            send()
            jobStore("two").updateState("job") { it.copy(isCancelled = true) }
            Err(StoreError.OutcomeUnknown("the reply was lost"))
        }
        val holder = JobHolder("one", 1)
        val updated = jobStore("one", faulty).updateState("job") { it.copy(holder = holder) }
        expectThat(updated.fold({ it }, { null })).isEqualTo(JobState(holder, isCancelled = true))
    }
}
