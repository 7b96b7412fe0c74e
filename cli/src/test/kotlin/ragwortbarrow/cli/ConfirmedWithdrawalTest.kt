package ragwortbarrow.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.time.ManualTimerService
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.lang.reflect.Proxy

/** Guards that a withdrawal tells nodes that confirmed from nodes that did not. */
class ConfirmedWithdrawalTest {
    private val store = InMemoryObjectStore()
    private val replies = mutableMapOf<String, suspend () -> Result<KeyUpdate, PeerError>>()
    private val withdrawal = KeyWithdrawal(
        store = store,
        writer = IdempotentWriter(store, ManualTimerService(), "operator"),
        connector = { address -> NamedPeer(checkNotNull(replies[address])) },
        nodeTimeoutMillis = 50,
    )

    @Test
    fun `a node that answers has confirmed`() = runBlocking<Unit> {
        // The answer used to be taken for a timeout, so the command failed although every node had confirmed.
        replies["a:1"] = { Ok(KeyUpdate()) }
        val report = withdrawal.withdraw(KeyId("k"), listOf("a:1"))
        expectThat(report.confirmed).containsExactly("a:1")
        expectThat(report.isComplete).isTrue()
        expectThat(store.list(ObjectKind.KEY_TOMBSTONES).get()?.items?.map { it.name }.orEmpty()).containsExactly("k")
    }

    @Test
    fun `a node that fails or is silent is named with the reason`() = runBlocking<Unit> {
        replies["a:1"] = { Err(PeerError.Unreachable("refused")) }
        replies["b:1"] = { awaitCancellation() }
        val report = withdrawal.withdraw(KeyId("k"), listOf("a:1", "b:1"))
        expectThat(report.unconfirmed).isEqualTo(mapOf("a:1" to "refused", "b:1" to "no reply within 50 ms"))
        expectThat(report.isComplete).isFalse()
    }

    private class NamedPeer(private val reply: suspend () -> Result<KeyUpdate, PeerError>) : PeerService by NO_CALLS {
        override suspend fun updateKeys(update: KeyUpdate): Result<KeyUpdate, PeerError> = reply()
    }

    private companion object {
        val NO_CALLS = Proxy.newProxyInstance(
            PeerService::class.java.classLoader,
            arrayOf(PeerService::class.java),
        ) { _, method, _ -> error("a withdrawal does not call ${method.name}") } as PeerService
    }
}
