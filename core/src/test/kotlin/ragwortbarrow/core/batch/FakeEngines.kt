package ragwortbarrow.core.batch

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import ragwortbarrow.core.backend.AttemptOutcome
import ragwortbarrow.core.backend.BackendRequest
import ragwortbarrow.core.backend.BackendResponse
import ragwortbarrow.core.backend.LoadReport
import ragwortbarrow.core.error.ServingError
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.RequestId
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.time.ManualTimerService

/** Backend servers that respond after a given time; an item whose id starts with `poison` crashes its server. */
internal class FakeEngines(private val timer: ManualTimerService, private val durationMillis: (String) -> Long) {
    /** How often each item was started. */
    val starts = HashMap<String, Int>()

    /** How often each item was completed. */
    val completions = HashMap<String, Int>()

    /** The number of other items on the server at each start of a poison item. */
    val poisonConcurrency = ArrayList<Int>()
    private val running = HashMap<BackendServerId, LinkedHashMap<RequestId, CompletableDeferred<AttemptOutcome>>>()
    var maxRunning = 0
        private set

    fun runningOn(server: String): Int = running[BackendServerId(server)]?.size ?: 0

    fun totalRunning(): Int = running.values.sumOf { it.size }

    suspend fun run(server: BackendServer, request: BackendRequest): AttemptOutcome {
        val id = promptOf(request)
        starts.merge(id, 1, Int::plus)
        val requests = running.getOrPut(server.id) { LinkedHashMap() }
        val outcome = CompletableDeferred<AttemptOutcome>()
        requests[request.requestId] = outcome
        maxRunning = maxOf(maxRunning, requests.size)
        if (id.startsWith("poison")) {
            poisonConcurrency += requests.size - 1
            timer.once(50) { crash(server) }
        } else {
            timer.once(durationMillis(id)) { if (outcome.complete(response(id))) completions.merge(id, 1, Int::plus) }
        }
        return try {
            outcome.await()
        } catch (e: CancellationException) {
            outcome.cancel()
            throw e
        } finally {
            requests.remove(request.requestId, outcome)
        }
    }

    fun cancel(server: BackendServer, requestId: RequestId) {
        running[server.id]?.get(requestId)?.complete(AttemptOutcome.Unknown("cancelled"))
    }

    fun load(server: BackendServer): Result<LoadReport, ServingError> {
        val count = runningOn(server.id.value)
        return Ok(LoadReport(count, 0, server.slots))
    }

    private fun crash(server: BackendServer) {
        running[server.id]?.values?.toList()?.forEach { it.complete(AttemptOutcome.Unknown("connection reset")) }
    }

    private fun response(id: String): AttemptOutcome =
        AttemptOutcome.Answered(BackendResponse(200, emptyList(), """{"text":"$id"}""".encodeToByteArray()))

    private fun promptOf(request: BackendRequest): String =
        Regex("\"prompt\":\"([^\"]+)\"").find(request.body.decodeToString())!!.groupValues[1]
}
