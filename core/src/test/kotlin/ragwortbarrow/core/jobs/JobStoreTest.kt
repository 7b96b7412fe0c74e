package ragwortbarrow.core.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Test
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class JobStoreTest {
    private val timer = ManualTimerService()
    private val store = InMemoryObjectStore()

    private fun jobStore(name: String, store: ObjectStore = this.store) =
        JobStore(store, IdempotentWriter(store, timer, name))

    /** Creates objects without a reply, and calls [afterWrite] before the writer learns that. */
    private class LostReplies(private val store: ObjectStore, private val afterWrite: suspend () -> Unit) :
        ObjectStore by store {
        override suspend fun create(
            kind: ObjectKind,
            name: String,
            spec: JsonObject,
            labels: Map<String, String>,
        ): Result<StoredObject, StoreError> {
            store.create(kind, name, spec, labels)
            afterWrite()
            return Err(StoreError.OutcomeUnknown("the reply was lost"))
        }
    }

    /** Guards against a node that starts a job which was ended while the answer to its takeover was lost. */
    @Test
    fun `an update whose reply was lost returns the state that replaced it`() = runTest {
        val afterWrite = suspend { jobStore("two").updateState("job") { it.copy(isCancelled = true) }.let { } }
        val holder = JobHolder("one", 1)
        val updated = jobStore("one", LostReplies(store, afterWrite)).updateState("job") { it.copy(holder = holder) }
        expectThat(updated.fold({ it }, { null })).isEqualTo(JobState(holder, isCancelled = true))
    }
}
