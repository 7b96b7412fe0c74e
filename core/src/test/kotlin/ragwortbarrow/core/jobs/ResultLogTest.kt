package ragwortbarrow.core.jobs

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.ObjectStore
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoredObject
import ragwortbarrow.core.store.storeJson
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue

class ResultLogTest {
    private val timer = ManualTimerService()
    private val store = InMemoryObjectStore()

    private fun jobStore(name: String) = JobStore(store, IdempotentWriter(store, timer, name))

    private fun result(id: String) = ItemResult(id, isCompleted = true, output = "text of $id")

    @Test
    fun `of two nodes that run a job only one stores a chunk with a given number`() = runTest {
        val first = ResultLog(3)
        val second = ResultLog(3)
        val stored = jobStore("one").appendResults("job", 0, first.nextChunk(listOf(result("a"))))
        expectThat(stored.fold({ null }, { it })).isNull()
        val conflict = jobStore("two").appendResults("job", 0, second.nextChunk(listOf(result("b"), result("a"))))
        expectThat(conflict.fold({ null }, { it })).isA<StoreError.AlreadyExists>()
    }

    @Test
    fun `a node that lost a write conflict continues after the other chunk and repeats no item`() = runTest {
        val jobs = jobStore("one")
        jobs.appendResults("job", 0, ResultChunk(0, listOf(result("a"))))
        val log = ResultLog(3)
        jobs.readResults("job", log)
        val next = log.nextChunk(listOf(result("a"), result("b")))
        expectThat(next.first).isEqualTo(1)
        expectThat(next.results.map { it.id }).containsExactly("b")
        expectThat(log.nextChunkNumber).isEqualTo(1)
    }

    @Test
    fun `an item in two chunks keeps its first position`() {
        val log = ResultLog(2)
        log.add(0, ResultChunk(0, listOf(result("a"))))
        log.add(1, ResultChunk(1, listOf(result("a").copy(output = "other"), result("b"))))
        expectThat(log.resultsFrom(0).map { it.output }).containsExactly("text of a", "text of b")
        expectThat(log.isComplete).isTrue()
    }

    /** Guards against chunks that the store rejects as too large, whose results would never be listed. */
    @Test
    fun `a chunk has as many results as fit, and at least one`() {
        val log = ResultLog(3)
        val results = listOf("a", "b", "c").map { ItemResult(it, isCompleted = true, output = "x".repeat(1_000)) }
        expectThat(log.nextChunk(results, maxBytes = 2_500).results.map { it.id }).containsExactly("a", "b")
        expectThat(log.nextChunk(results, maxBytes = 10).results.map { it.id }).containsExactly("a")
    }

    @Test
    fun `the size of a result is that of its JSON text`() {
        val results = listOf("plain", "\"quoted\"\\", "line\nline", "\u0001\u00e9\u4e2d").map { result(it) }
        val chunk = ResultChunk(0, results)
        val encoded = storeJson.encodeToString(chunk).encodeToByteArray().size
        expectThat(chunk.encodedBytes).isGreaterThan(encoded)
        expectThat(chunk.encodedBytes).isLessThan(encoded + 150 * results.size)
    }

    @Test
    fun `concurrent readers leave no gap between chunks`() = runTest {
        val blocked = BlockedReads(store)
        val jobs = JobStore(blocked, IdempotentWriter(store, timer, "one"))
        jobs.appendResults("job", 0, ResultChunk(0, listOf(result("a"))))
        val log = ResultLog(3)
        val first = launch { jobs.readResults("job", log) }
        val second = launch { jobs.readResults("job", log) }
        testScheduler.runCurrent()
        blocked.unblocked.complete(Unit)
        joinAll(first, second)
        expectThat(log.nextChunkNumber).isEqualTo(1)
        expectThat(log.resultsFrom(0).map { it.id }).containsExactly("a")
    }

    private class BlockedReads(private val store: ObjectStore) : ObjectStore by store {
        val unblocked = CompletableDeferred<Unit>()

        override suspend fun get(kind: ObjectKind, name: String): Result<StoredObject, StoreError> {
            unblocked.await()
            return store.get(kind, name)
        }
    }

    @Test
    fun `reading from a position after the end returns nothing`() {
        val log = ResultLog(2)
        log.add(0, ResultChunk(0, listOf(result("a"))))
        expectThat(log.resultsFrom(1)).isEqualTo(emptyList())
        expectThat(log.resultsFrom(9)).isEqualTo(emptyList())
        expectThat(log.isComplete).isFalse()
    }

    @Test
    fun `a job is created once and its state survives concurrent updates`() = runTest {
        val job = BatchJob("job", "host", "/p/", "mill", 0, emptyList(), JobHolder("vm", 1))
        expectThat(jobStore("one").create(job).fold({ null }, { it })).isNull()
        expectThat(jobStore("two").create(job).fold({ null }, { it })).isA<StoreError.AlreadyExists>()
        jobStore("one").updateState("job") { it.copy(isCancelled = true) }
        jobStore("two").updateState("job") { it.copy(holder = JobHolder("other", 2)) }
        val state = jobStore("one").state("job").fold({ it }, { null })
        expectThat(state).isEqualTo(JobState(holder = JobHolder("other", 2), isCancelled = true))
    }
}
