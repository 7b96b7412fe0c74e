package ragwortbarrow.core.config

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.store.StoreError
import ragwortbarrow.core.store.StoreFault
import ragwortbarrow.core.store.StoreFaultInjector
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.pause
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.startsWith

/** Guards the linear order of versions: concurrent publishers never merge, and no version is used twice. */
class ConfigurationPublisherTest {
    private val timer = ManualTimerService()
    private val store = InMemoryObjectStore(StoreFaultInjector { _, _, _ -> StoreFault.None.also { slowCall() } })
    private var callMillis = 0L

    @Test
    fun `if two operators publish concurrently, one succeeds and the other is told who did`() = runTest {
        publisher("ann").publish(manifestOf()).unwrap()
        callMillis = 10
        val racing = listOf("ben" to 9, "eve" to 10).map { (name, customers) ->
            async { publisher(name).publish(manifestOf(customers = customers)) }
        }
        repeat(50) {
            testScheduler.runCurrent()
            timer.advance(10)
        }
        val results = racing.awaitAll()
        val winner = results.single { it.isOk }.unwrap()
        expectThat(winner.head.version).isEqualTo(2)
        expectThat(results.single { it.isErr }.getError()).isA<PublishError.VersionConflict>().and {
            get { version }.isEqualTo(2)
            get { writer }.isEqualTo(winner.head.writer)
            get { message }.contains(winner.head.writer)
        }
    }

    @Test
    fun `publishing with an outdated expected version fails with the current version and its writer`() = runTest {
        publisher("ann").publish(manifestOf()).unwrap()
        val refused = publisher("ben").publish(manifestOf(customers = 9), expectedVersion = 0).getError()
        expectThat(refused).isA<PublishError.VersionConflict>().and {
            get { version }.isEqualTo(1)
            get { writer }.startsWith("ann#")
        }
    }

    @Test
    fun `an invalid manifest changes nothing`() = runTest {
        val invalid = manifestOf().let { it.copy(customers = it.customers + it.customers.first()) }
        expectThat(publisher("ann").publish(invalid).getError()).isA<PublishError.Invalid>()
            .get { errors }.hasSize(1)
        expectThat(store.list(ObjectKind.CONFIGURATION_PARTS).unwrap().items).hasSize(0)
    }

    @Test
    fun `publishing the current manifest again creates no new version`() = runTest {
        publisher("ann").publish(manifestOf()).unwrap()
        val again = publisher("ben").publish(manifestOf().let { it.copy(customers = it.customers.reversed()) })
        expectThat(again.unwrap().head.version).isEqualTo(1)
    }

    @Test
    fun `lost replies do not create a second version`() = runTest {
        val faults = SwitchedFaults().apply { loseWriteReplies = true }
        val lossy = InMemoryObjectStore(faults)
        val published = ConfigurationPublisher(lossy, IdempotentWriter(lossy, timer, "ann")).publish(manifestOf())
        expectThat(published.unwrap().head.version).isEqualTo(1)
    }

    @Test
    fun `during an outage the error says that nothing was changed`() = runTest {
        val down = InMemoryObjectStore(SwitchedFaults().apply { outage = true })
        val refused = ConfigurationPublisher(
            down,
            IdempotentWriter(down, timer, "ann"),
        ).publish(manifestOf()).getError()
        expectThat(refused).isA<PublishError.PlatformFailed>().and {
            get { error }.isA<StoreError.Unavailable>()
            get { message }.startsWith("nothing was changed")
        }
    }

    @Test
    fun `with thirty thousand backend servers every stored object stays under one megabyte`() = runTest {
        val huge = manifestOf(customers = 10_000, servers = 30_000)
        publisher("ann").publish(huge).unwrap()
        val largest = store.list(ObjectKind.CONFIGURATION_PARTS).unwrap().items.maxOf { it.spec.toString().length }
        expectThat(largest).isLessThan(1_000_000)
        val head = ConfigurationObjects.headOf(store.get(ObjectKind.CONFIGURATIONS, "head").unwrap())
        val parts = huge.splitIntoParts().parts
        val sorted = huge.copy(
            customers = huge.customers.sortedBy { it.id.value },
            backendServers = huge.backendServers.sortedBy { it.id.value },
        )
        expectThat(joinParts(head, parts::get).unwrap()).isEqualTo(sorted)
    }

    private fun publisher(name: String) = ConfigurationPublisher(store, IdempotentWriter(store, timer, name))

    private suspend fun slowCall() {
        if (callMillis > 0) timer.pause(callMillis)
    }
}
