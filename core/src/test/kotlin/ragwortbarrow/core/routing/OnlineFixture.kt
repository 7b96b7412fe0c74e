package ragwortbarrow.core.routing

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendClient
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.backend.StreamEvent
import ragwortbarrow.core.config.ConfigurationSnapshot
import ragwortbarrow.core.config.ConfigurationView
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.core.time.TimerService
import ragwortbarrow.core.time.pause
import kotlin.random.Random

internal val localDomain = FailureDomainId("arusha")
internal val remoteDomain = FailureDomainId("mwanza")
internal val modelTarget = CallTarget.ModelTarget("wording")

internal fun server(name: String, slots: Int = 4, domain: FailureDomainId = localDomain, leaving: Boolean = false) =
    BackendServer(BackendServerId(name), "http://$name", domain, listOf("wording"), slots = slots, leaving = leaving)

internal fun snapshotOf(
    servers: List<BackendServer>,
    customers: List<Customer> = emptyList(),
    queueWaitMillis: Long = 2_000,
    queueLength: Int = 64,
): ConfigurationSnapshot {
    val domains = listOf(FailureDomain(localDomain), FailureDomain(remoteDomain))
    val fleet = Fleet(domains, queueWaitMillis = queueWaitMillis, queueLengthPerCustomer = queueLength)
    return ConfigurationSnapshot(1, Manifest("test", fleet, customers = customers, backendServers = servers))
}

internal class FixedConfiguration(override var current: ConfigurationSnapshot?) : ConfigurationView {
    override fun subscribe(listener: (ConfigurationSnapshot) -> Unit) = current?.let(listener) ?: Unit
}

internal fun call(id: String, customer: String = "c1", repeatable: Boolean = true, prefix: String = "") =
    OnlineCall(CustomerId(customer), modelTarget, BackendRequest(RequestId(id), "POST", "/x"), repeatable, 16, prefix)

/** Responds after 100 ms of virtual time unless a test replaces that; records sent, resumed and cancelled requests. */
internal class FakeBackendClient(private val timer: TimerService) : BackendClient {
    val sent = mutableListOf<Pair<String, String>>()
    val resumed = mutableListOf<Pair<String, Long>>()
    val cancelled = mutableListOf<Pair<String, String>>()
    var onSend: suspend (BackendServer, BackendRequest) -> AttemptOutcome = { server, _ ->
        timer.pause(100)
        answered(server.id.value)
    }
    var onStream: suspend (BackendServer, suspend (StreamEvent) -> Unit) -> Unit = { _, emit -> chunks(0, 6, emit) }
    var onResume: suspend (BackendServer, Long, suspend (StreamEvent) -> Unit) -> Unit =
        { _, from, emit -> chunks(from, 6, emit) }

    override suspend fun send(server: BackendServer, request: BackendRequest): AttemptOutcome {
        sent += server.id.value to request.requestId.value
        return onSend(server, request)
    }

    override fun stream(server: BackendServer, request: BackendRequest): Flow<StreamEvent> = flow {
        sent += server.id.value to request.requestId.value
        onStream(server) { emit(it) }
    }

    override fun resume(server: BackendServer, requestId: RequestId, fromOffset: Long): Flow<StreamEvent> = flow {
        resumed += server.id.value to fromOffset
        onResume(server, fromOffset) { emit(it) }
    }

    override suspend fun cancel(server: BackendServer, requestId: RequestId) {
        cancelled += server.id.value to requestId.value
    }

    override suspend fun fetchLoadReport(server: BackendServer): Result<LoadReport, ServingError> =
        Ok(LoadReport(0, 0, 4))

    suspend fun chunks(from: Long, until: Long, emit: suspend (StreamEvent) -> Unit, complete: Boolean = true) {
        for (offset in from until until) {
            timer.pause(10)
            emit(StreamEvent.Chunk(offset, "token $offset"))
        }
        if (complete) emit(StreamEvent.Completed(until))
    }
}

internal fun answered(text: String) = AttemptOutcome.Answered(BackendResponse(200, emptyList(), text.toByteArray()))

internal val unknownOutcome = AttemptOutcome.Unknown("connection reset")

/** An online service with a fake backend client in virtual time. */
internal class OnlineFixture(
    servers: List<BackendServer>,
    customers: List<Customer> = emptyList(),
    queueLength: Int = 64,
    initialBackoffMillis: Long = 100,
) {
    val timer = ManualTimerService()
    val client = FakeBackendClient(timer)
    val configuration = FixedConfiguration(snapshotOf(servers, customers, queueLength = queueLength))
    val leavingByVmList = mutableSetOf<BackendServerId>()
    val service = RoutedOnlineService(
        client,
        configuration,
        timer,
        localDomain,
        health = ServerHealth(timer, initialBackoffMillis),
        random = Random(7),
        isLeaving = { it in leavingByVmList },
        dispatcher = Dispatchers.Unconfined,
    ).also { it.start() }
    private val scope = CoroutineScope(Dispatchers.Unconfined)

    fun execute(call: OnlineCall) = scope.async { service.execute(call) }

    fun stream(call: OnlineCall): MutableList<CallerEvent> {
        val events = mutableListOf<CallerEvent>()
        scope.async { service.stream(call).collect { events += it } }
        return events
    }
}
