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
 * Stands in for the platform: serves a [InMemoryObjectStore] by the conventions of the Kubernetes API, with fault
 * switches and call counts. A [port] of 0 takes any free one; [url] tells it after [start].
 *
 * Changes of the VM list become visible after [vmListLagMillis], as on the real platform.
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

    internal val faultState = MutableStateFlow(FaultState(faults, stale = staleCopy(faults)))
    private val rate = AtomicReference(RateWindow(0, 0))
    private var engine: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>? = null

    /** The fault switches; setting them affects the next call and the open watches. */
    var faults: PlatformFaults
        get() = faultState.value.faults
        set(value) {
            val kept = faultState.value.stale.takeIf { value.staleReads }
            faultState.value = FaultState(value, stale = kept ?: staleCopy(value))
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

    /** Adds or changes a VM of the VM list; visible after the lag. */
    fun putVm(name: String, record: VmRecord): Unit = afterLag { store.put(ObjectKind.VMS, name, record.toSpec()) }

    /** Removes a VM from the VM list; visible after the lag. */
    fun removeVm(name: String): Unit = afterLag {
        runBlocking {
            store.get(ObjectKind.VMS, name).fold({ store.delete(ObjectKind.VMS, name, it.version) }, {})
        }
    }

    /** Whether one more call is within the rate of the fault switches. */
    internal fun withinRate(limit: Int): Boolean {
        val second = timer.nanoTime() / NANOS_PER_SECOND
        val window = rate.updateAndGet {
            if (it.second == second) it.copy(calls = it.calls + 1) else RateWindow(second, 1)
        }
        return limit == 0 || window.calls <= limit
    }

    /** Whether the reply of the present write is to be lost. */
    internal fun losesReply(kind: ObjectKind): Boolean =
        faults.concerns(kind.path) && synchronized(random) { random.nextDouble() } < faults.loseWriteReplies

    private fun afterLag(action: () -> Unit) {
        if (vmListLagMillis == 0L) action() else timer.once(vmListLagMillis, action)
    }

    private fun staleCopy(faults: PlatformFaults) = if (faults.staleReads) store.copy() else null

    internal data class FaultState(val faults: PlatformFaults, val stale: InMemoryObjectStore?)

    private data class RateWindow(val second: Long, val calls: Int)
}
