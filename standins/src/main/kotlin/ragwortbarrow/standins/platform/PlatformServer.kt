package ragwortbarrow.standins.platform

import com.github.michaelbull.result.fold
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.routing.routing
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.runBlocking
import ragwortbarrow.core.store.InMemoryObjectStore
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.time.NANOS_PER_SECOND
import ragwortbarrow.core.time.TimerService
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/**
 * Test server for the platform: serves an [InMemoryObjectStore] by the conventions of the Kubernetes API, injects
 * faults and counts calls. A [port] of 0 selects any free port; [url] contains it after [start].
 *
 * Changes to the VM list become visible after [vmListLagMillis], as on the real platform.
 */
class PlatformServer(
    private val timer: TimerService,
    val store: InMemoryObjectStore = InMemoryObjectStore(),
    private val host: String = "127.0.0.1",
    private val port: Int = 0,
    private val vmListLagMillis: Long = 0,
    private val bookmarkMillis: Long = 1_000,
    faults: PlatformFaults = PlatformFaults(),
    private val random: Random = Random(7),
) {
    val calls: CallCounts = CallCounts()

    internal val faultState = MutableStateFlow(FaultState(faults, stale = snapshotIfStale(faults)))
    private val rate = AtomicReference(RateWindow(0, 0))
    private var engine: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>? = null

    /** The active faults; setting them affects the next call and open watches. */
    var faults: PlatformFaults
        get() = faultState.value.faults
        set(value) {
            val existing = faultState.value.stale.takeIf { value.staleReads }
            faultState.value = FaultState(value, stale = existing ?: snapshotIfStale(value))
        }

    /** The base URL, known after [start]. */
    lateinit var url: String
        private set

    /** Starts listening and returns this server. */
    fun start(): PlatformServer {
        val server = embeddedServer(Netty, port = port, host = host) {
            routing {
                objectRoutes(this@PlatformServer, bookmarkMillis)
                adminRoutes(this@PlatformServer)
            }
        }
        server.start(wait = false)
        engine = server
        val bound = runBlocking { server.engine.resolvedConnectors().first() }
        url = "http://$host:${bound.port}"
        return this
    }

    fun stop() {
        engine?.stop(gracePeriodMillis = 0, timeoutMillis = 500)
        engine = null
    }

    /** Adds or updates a VM in the VM list; visible after [vmListLagMillis]. */
    fun putVm(name: String, record: VmRecord): Unit = runAfterLag { store.put(ObjectKind.VMS, name, record.toSpec()) }

    /** Removes a VM from the VM list; visible after [vmListLagMillis]. */
    fun removeVm(name: String): Unit = runAfterLag {
        runBlocking {
            store.get(ObjectKind.VMS, name).fold({ store.delete(ObjectKind.VMS, name, it.version) }, {})
        }
    }

    /** Counts one call and returns whether it is within [limit] calls per second. */
    internal fun tryAcquireCall(limit: Int): Boolean {
        val second = timer.nanoTime() / NANOS_PER_SECOND
        val window = rate.updateAndGet {
            if (it.second == second) it.copy(calls = it.calls + 1) else RateWindow(second, 1)
        }
        return limit == 0 || window.calls <= limit
    }

    /** Whether to drop the response to the current write. */
    internal fun shouldDropResponse(kind: ObjectKind): Boolean =
        faults.affects(kind.path) && synchronized(random) { random.nextDouble() } < faults.loseWriteReplies

    private fun runAfterLag(action: () -> Unit) {
        if (vmListLagMillis == 0L) action() else timer.once(vmListLagMillis, action)
    }

    private fun snapshotIfStale(faults: PlatformFaults) = if (faults.staleReads) store.copy() else null

    internal data class FaultState(val faults: PlatformFaults, val stale: InMemoryObjectStore?)

    private data class RateWindow(val second: Long, val calls: Int)
}
