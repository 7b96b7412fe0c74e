package ragwortbarrow.core.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Test
import ragwortbarrow.core.log.DecisionLog
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/** Guards against trusting a watch that stays open but delivers no events. */
class KindWatcherTest {
    private val timer = ManualTimerService()
    private val memory = InMemoryObjectStore()
    private val isSilent = MutableStateFlow(false)
    private val seen = mutableSetOf<String>()
    private var confirmations = 0
    private val kind = ObjectKind.KEY_TOMBSTONES

    @Test
    fun `a silent watch is not confirmed and is restarted`() = runTest {
        start()
        run(3_000)
        isSilent.value = true
        memory.create(kind, "k1", JsonObject(emptyMap())).unwrap()
        val before = confirmations
        run(2_000)
        expectThat(confirmations).isEqualTo(before)
        run(4_000)
        expectThat(seen).contains("k1")
        expectThat(confirmations).isGreaterThan(before)
    }

    @Test
    fun `a node that is no longer elected makes no calls`() = runTest {
        var isElected = true
        start { isElected }
        run(3_000)
        isElected = false
        run(1_000)
        val before = memory.calls
        run(10_000)
        expectThat(memory.calls).isEqualTo(before)
    }

    /** Guards against watches that end again and again with nothing in the log that shows why. */
    @Test
    fun `an error without a message is named in the log`() = runTest {
        val reasons = ArrayList<Any?>()
        val failing = object : ObjectStore by memory {
            override suspend fun list(
                kind: ObjectKind,
                labels: Map<String, String>,
                limit: Int,
                continueToken: String?,
                metadataOnly: Boolean,
            ): Result<ObjectPage, StoreError> = throw StackOverflowError()
        }
        start(failing, { event, fields -> if (event == "platform_watch_ended") reasons += fields.toMap()["reason"] })
        run(2_000)
        expectThat(reasons.first().toString()).contains("StackOverflowError")
    }

    private fun TestScope.start(
        store: ObjectStore = SilenceableWatches(),
        log: DecisionLog = DecisionLog.NONE,
        isElected: () -> Boolean = { true },
    ) = KindWatcher(
        kind = kind,
        store = store,
        timer = timer,
        scope = backgroundScope,
        isElected = isElected,
        onChanged = { seen += it.name },
        onConfirmed = { confirmations++ },
        decisionLog = log,
        random = Random(1),
    ).start()

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun TestScope.run(millis: Long) {
        runCurrent()
        repeat((millis / 100).toInt()) {
            timer.advance(100)
            runCurrent()
        }
    }

    private inner class SilenceableWatches : ObjectStore by memory {
        override fun watch(kind: ObjectKind, fromVersion: Long, metadataOnly: Boolean): Flow<WatchEvent> =
            memory.watch(kind, fromVersion, metadataOnly).onEach { isSilent.first { !it } }
    }
}
