package ragwortbarrow.backend

import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import ragwortbarrow.core.backend.BackendClient
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.routing.BackendLoads
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.TimerSubscription
import ragwortbarrow.core.time.monotonicMillis
import java.util.concurrent.ConcurrentHashMap

/**
 * Polls the load of the backend servers with models in this node's failure domain in turn: each at most once every
 * [periodMillis], and at most [maxPollsPerSecond] times per second in total. The limit keeps control traffic within the
 * budget of a node; a poll costs about 350 bytes.
 */
class LoadPoller(
    private val client: BackendClient,
    private val configuration: ConfigurationView,
    private val loads: BackendLoads,
    private val timer: TimerService,
    private val failureDomain: FailureDomainId,
    private val periodMillis: Long = 250L,
    private val maxPollsPerSecond: Int = 20,
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val inFlight = ConcurrentHashMap.newKeySet<BackendServerId>()
    private val lastPollMillis = HashMap<BackendServerId, Long>()
    private var subscription: TimerSubscription? = null

    fun start() {
        subscription = timer.every(1_000L / maxPollsPerSecond) { pollNext() }
    }

    fun stop() {
        subscription?.cancel()
        scope.cancel()
    }

    /** Polls the backend server that was polled longest ago. The timer never runs this concurrently. */
    private fun pollNext() {
        val servers = modelServers()
        val nowMillis = timer.monotonicMillis()
        val server =
            servers.filter { it.id !in inFlight }.minByOrNull { lastPollMillis[it.id] ?: Long.MIN_VALUE } ?: return
        val previousMillis = lastPollMillis[server.id]
        if (previousMillis != null && nowMillis - previousMillis < periodMillis) return
        lastPollMillis[server.id] = nowMillis
        if (lastPollMillis.size > servers.size) lastPollMillis.keys.retainAll(servers.map { it.id }.toSet())
        val roundMillis = maxOf(periodMillis, servers.size * 1_000L / maxPollsPerSecond)
        poll(server, validMillis = VALID_POLL_ROUNDS * roundMillis)
    }

    private fun poll(server: BackendServer, validMillis: Long) {
        inFlight += server.id
        loads.recordSample(server.id)
        scope.launch {
            try {
                client.fetchLoadReport(server).onSuccess { loads.record(server.id, it, validMillis) }
            } finally {
                inFlight -= server.id
            }
        }
    }

    private fun modelServers(): List<BackendServer> = configuration.current?.manifest?.backendServers.orEmpty()
        .filter { it.failureDomain == failureDomain && it.models.isNotEmpty() }

    private companion object {
        /** A load report is used until this many polls of its server have failed. */
        const val VALID_POLL_ROUNDS = 4
    }
}
