package ragwortbarrow.core.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Test
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against misjudging a write whose reply was lost, for example as failed when it took effect. */
class IdempotentWriterTest {
    private val kind = ObjectKind.LIMIT_SHARDS
    private val timer = object : TimerService by ManualTimerService() {
        override fun once(delayMillis: Long, action: () -> Unit) = TimerSubscription { }.also { action() }
    }
    private val memory = InMemoryObjectStore()
    private val platform = FaultyWrites(memory)
    private val writer = IdempotentWriter(platform, timer, "vm-1/1", readBackAttempts = 3)
    private val other = IdempotentWriter(memory, timer, "vm-2/1")

    @Test
    fun `a write that took effect but lost its reply succeeds and is sent once`() = runTest {
        platform.faults += { send -> send().let { lost } }
        val created = writer.create(kind, "a", spec("1")).unwrap()
        platform.faults += { send -> send().let { lost } }
        expectThat(writer.update(created, spec("2")).unwrap().version).isEqualTo(2)
        expectThat(platform.writes).isEqualTo(2)
    }

    @Test
    fun `a write that took effect and was then replaced still succeeds`() = runTest {
        val created = writer.create(kind, "a", spec("1")).unwrap()
        platform.faults += { send -> other.update(send().unwrap(), spec("other")).let { lost } }
        expectThat(writer.update(created, spec("2")).isOk).isEqualTo(true)
    }

    @Test
    fun `a write that never arrived fails with a conflict if another writer was first`() = runTest {
        val created = writer.create(kind, "a", spec("1")).unwrap()
        platform.faults += { other.update(created, spec("other")).let { lost } }
        expectThat(writer.update(created, spec("2")).getError()).isA<StoreError.Conflict>()
        platform.faults += { other.create(kind, "b", spec("other")).let { lost } }
        expectThat(writer.create(kind, "b", spec("2")).getError()).isA<StoreError.AlreadyExists>()
    }

    @Test
    fun `a write that arrives after it was read back takes effect once`() = runTest {
        val created = writer.create(kind, "a", spec("1")).unwrap()
        var delayed: (suspend () -> Result<StoredObject, StoreError>)? = null
        platform.faults += { send -> lost.also { delayed = send } }
        // The delayed first copy arrives just before the second one.
        platform.faults += { send -> checkNotNull(delayed)().let { send() } }
        expectThat(writer.update(created, spec("2")).unwrap().version).isEqualTo(2)
        expectThat(memory.get(kind, "a").unwrap().version).isEqualTo(2)
    }

    @Test
    fun `the outcome stays unknown when the platform cannot be read`() = runTest {
        platform.faults += { send -> send().let { lost } }
        platform.readsFail = true
        expectThat(writer.create(kind, "a", spec("1")).getError()).isA<StoreError.OutcomeUnknown>()
    }

    @Test
    fun `the outcome stays unknown when a write without a token replaced the object`() = runTest {
        val created = writer.create(kind, "a", spec("1")).unwrap()
        platform.faults += { memory.update(kind, "a", created.version, spec("plain")).let { lost } }
        expectThat(writer.update(created, spec("2")).getError()).isA<StoreError.OutcomeUnknown>()
    }

    @Test
    fun `a stale read does not turn a lost reply into a failed write`() = runTest {
        val created = writer.create(kind, "a", spec("1")).unwrap()
        platform.reads = memory.copy()
        platform.faults += { send -> send().let { lost } }
        expectThat(writer.update(created, spec("2")).getError()).isA<StoreError.OutcomeUnknown>()
    }

    @Test
    fun `a delete whose reply was lost succeeds if the object no longer exists`() = runTest {
        val created = writer.create(kind, "a", spec("1")).unwrap()
        platform.loseNextDelete = true
        expectThat(writer.delete(created)).isEqualTo(Ok(Unit))
    }

    private val lost: Result<StoredObject, StoreError> = Err(StoreError.OutcomeUnknown("the reply was lost"))

    private fun spec(value: String) = JsonObject(mapOf("value" to JsonPrimitive(value)))
}
