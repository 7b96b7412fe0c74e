package ragwortbarrow.objectapi

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.filterIsInstance
import kotlinx.coroutines.flow.filterNot
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.WatchEvent
import ragwortbarrow.core.store.WatchFailedException
import ragwortbarrow.core.time.pause
import ragwortbarrow.standins.platform.CallVerb
import ragwortbarrow.standins.platform.PlatformFaults
import ragwortbarrow.standins.platform.PlatformServer
import ragwortbarrow.standins.platform.VmRecord
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList

/** Verifies the client against the platform stand-in, above all which error it reports for a failed write. */
class HttpObjectStoreTest {
    private val timer = SystemTimerService()
    private val server = PlatformServer(timer, bookmarkMillis = 50).start()
    private val outcomes = CopyOnWriteArrayList<String>()
    private val store = HttpObjectStore(
        server.url,
        CallBudget(
            attemptTimeoutMillis = 1_000,
            initialBackoffMillis = 1,
            resetTimeoutMillis = 50,
            maxResetTimeoutMillis = 50,
        ),
    ) { verb, kind, outcome, _ -> outcomes += "$verb ${kind.path} $outcome" }

    @AfterEach
    fun close() {
        store.close()
        server.stop()
        timer.close()
    }

    @Test
    fun `objects are created, read, listed by label, updated and deleted`(): Unit = test {
        val kind = ObjectKind.BATCH_JOBS
        val created = store.create(kind, "a", spec("1"), mapOf("customer" to "x")).unwrap()
        store.create(kind, "b", spec("1"), mapOf("customer" to "y")).unwrap()
        val updated = store.update(kind, "a", created.version, spec("2"), created.labels).unwrap()
        expectThat(store.get(kind, "a").unwrap()).isEqualTo(updated)
        val page = store.list(kind, labels = mapOf("customer" to "x"), metadataOnly = true).unwrap()
        expectThat(page.items).containsExactly(updated.copy(spec = JsonObject(emptyMap())))
        val firstPage = store.list(kind, limit = 1).unwrap()
        val secondPage = store.list(kind, limit = 1, continueToken = firstPage.continueToken).unwrap()
        expectThat(secondPage.items.map { it.name }).containsExactly("b")
        expectThat(secondPage.continueToken).isNull()
        store.delete(kind, "a", updated.version).unwrap()
        expectThat(store.get(kind, "a").getError()).isA<StoreError.NotFound>()
    }

    @Test
    fun `errors of the platform map to the matching store errors`(): Unit = test {
        val kind = ObjectKind.LIMIT_SHARDS
        store.create(kind, "a", spec("1")).unwrap()
        expectThat(store.create(kind, "a", spec("1")).getError()).isA<StoreError.AlreadyExists>()
        expectThat(store.update(kind, "a", 99, spec("1")).getError()).isA<StoreError.Conflict>()
        expectThat(store.update(kind, "none", 1, spec("1")).getError()).isA<StoreError.NotFound>()
        expectThat(store.create(kind, "big", spec("x".repeat(1_000_001))).getError()).isA<StoreError.Rejected>()
        expectThat(store.create(ObjectKind.VMS, "vm", spec("1")).getError()).isA<StoreError.Rejected>()
    }

    @Test
    fun `a write whose response was lost has an unknown outcome and is resolved by reading back`(): Unit = test {
        server.faults = PlatformFaults(loseWriteReplies = 1.0)
        expectThat(store.create(ObjectKind.FILES, "a", spec("1")).getError()).isA<StoreError.OutcomeUnknown>()
        val writer = IdempotentWriter(store, timer, "vm-1/1", readBackDelayMillis = 1)
        val created = writer.create(ObjectKind.FILES, "b", spec("1")).unwrap()
        writer.update(created, spec("2")).unwrap()
        expectThat(server.calls.of(CallVerb.CREATE, ObjectKind.FILES)).isEqualTo(2)
        expectThat(server.calls.of(CallVerb.UPDATE, ObjectKind.FILES)).isEqualTo(1)
    }

    @Test
    fun `a write that times out has an unknown outcome and one with a refused connection does not`(): Unit = test {
        server.faults = PlatformFaults(delayMillis = 5_000)
        expectThat(store.create(ObjectKind.FILES, "a", spec("1")).getError()).isA<StoreError.OutcomeUnknown>()
        server.stop()
        expectThat(store.create(ObjectKind.FILES, "a", spec("1")).getError()).isA<StoreError.Unavailable>()
    }

    @Test
    fun `reads are retried and writes are not`(): Unit = test {
        server.faults = PlatformFaults(outage = true)
        expectThat(store.get(ObjectKind.FILES, "a").getError()).isA<StoreError.Unavailable>()
        expectThat(server.calls.of(CallVerb.GET, ObjectKind.FILES)).isEqualTo(3)
        expectThat(store.create(ObjectKind.FILES, "a", spec("1")).getError()).isA<StoreError.Unavailable>()
        expectThat(server.calls.of(CallVerb.CREATE, ObjectKind.FILES)).isEqualTo(1)
        expectThat(outcomes.count { it == "get files unavailable" }).isEqualTo(3)
    }

    @Test
    fun `the circuit breaker rejects calls during an outage and lets them through after it`(): Unit = test {
        server.faults = PlatformFaults(outage = true)
        repeat(20) { store.create(ObjectKind.FILES, "a", spec("1")) }
        expectThat(server.calls.total).isEqualTo(5)
        server.faults = PlatformFaults()
        withTimeout(20_000) { while (store.create(ObjectKind.FILES, "a", spec("1")).isErr) timer.pause(10) }
    }

    @Test
    fun `a call above the rate limit of the platform is rejected without effect`(): Unit = test {
        server.faults = PlatformFaults(callsPerSecond = 1)
        val results = (1..4).map { store.create(ObjectKind.FILES, "f$it", spec("1")) }
        server.faults = PlatformFaults()
        val stored = store.list(ObjectKind.FILES).unwrap().items.size
        expectThat(results.count { it.isOk }).isEqualTo(stored)
        expectThat(results.mapNotNull { it.getError() }.all { it is StoreError.Unavailable }).isTrue()
    }

    @Test
    fun `stale reads return the state at the moment they were enabled`(): Unit = test {
        val created = store.create(ObjectKind.FILES, "a", spec("1")).unwrap()
        server.faults = PlatformFaults(staleReads = true)
        store.update(ObjectKind.FILES, "a", created.version, spec("2")).unwrap()
        expectThat(store.get(ObjectKind.FILES, "a").unwrap()).isEqualTo(created)
    }

    @Test
    fun `a watch delivers changes, deletions and bookmarks in order`(): Unit = test {
        val kind = ObjectKind.CONFIGURATIONS
        val created = store.create(kind, "head", spec("1")).unwrap()
        val events = async {
            store.watch(kind, 0).filterNot { it is WatchEvent.Bookmark }.take(3).toList()
        }
        val updated = store.update(kind, "head", created.version, spec("2")).unwrap()
        store.delete(kind, "head", updated.version).unwrap()
        expectThat(withTimeout(20_000) { events.await() }).containsExactly(
            WatchEvent.Changed(created),
            WatchEvent.Changed(updated),
            WatchEvent.Deleted("head", updated.version + 1),
        )
        val bookmark = store.watch(kind, updated.version + 1).filterIsInstance<WatchEvent.Bookmark>().take(2).toList()
        expectThat(bookmark.last().version).isGreaterThan(updated.version)
    }

    @Test
    fun `a watch fails during an outage and when the platform has stopped`(): Unit = test {
        val watching = async { runCatching { store.watch(ObjectKind.FILES, 0).collect { } } }
        store.watch(ObjectKind.FILES, 0).first()
        server.faults = PlatformFaults(outage = true)
        expectThat(withTimeout(20_000) { watching.await() }.exceptionOrNull()).isA<WatchFailedException>()
        server.faults = PlatformFaults()
        server.stop()
        expectCatching { store.watch(ObjectKind.FILES, 0).first() }.isFailure().isA<WatchFailedException>()
    }

    @Test
    fun `a watch reports that its version is too old`(): Unit = test {
        val shortHistoryServer = PlatformServer(timer, InMemoryObjectStore(historyLimit = 1)).start()
        HttpObjectStore(shortHistoryServer.url).use { client ->
            repeat(3) { client.create(ObjectKind.FILES, "f$it", spec("1")) }
            expectCatching { client.watch(ObjectKind.FILES, 0).first() }.isFailure().isA<WatchFailedException>()
                .get { versionTooOld }.isTrue()
        }
        shortHistoryServer.stop()
    }

    @Test
    fun `a change to the VM list becomes visible after the configured lag`(): Unit = test {
        val laggingServer = PlatformServer(timer, vmListLagMillis = 200).start()
        HttpObjectStore(laggingServer.url).use { client ->
            laggingServer.putVm("vm-1", VmRecord("dalton", peerAddress = "127.0.0.1:1"))
            expectThat(client.get(ObjectKind.VMS, "vm-1").getError()).isA<StoreError.NotFound>()
            withTimeout(20_000) { client.watch(ObjectKind.VMS, 0).first { it is WatchEvent.Changed } }
            expectThat(client.get(ObjectKind.VMS, "vm-1").isOk).isTrue()
        }
        laggingServer.stop()
    }

    private fun test(body: suspend CoroutineScope.() -> Unit): Unit = runBlocking { body() }

    private fun spec(value: String) = JsonObject(mapOf("value" to JsonPrimitive(value)))

    private companion object {
        /** The first call of a process loads the classes of client and server, which takes longer than a call may. */
        @BeforeAll
        @JvmStatic
        fun loadClasses() {
            val timer = SystemTimerService()
            val server = PlatformServer(timer).start()
            val store = HttpObjectStore(server.url, CallBudget(attemptTimeoutMillis = 30_000)) { _, _, _, _ -> }
            runBlocking { store.create(ObjectKind.FILES, "first", JsonObject(emptyMap())).unwrap() }
            store.close()
            server.stop()
            timer.close()
        }
    }
}
