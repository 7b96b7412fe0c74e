package ragwortbarrow.soak

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpHeaders
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.jvm.optionals.getOrNull
import kotlin.random.Random

/** Callers of online requests, each of which keeps using its open connections until their node exits. */
internal class SoakCallers(
    private val fleet: SoakFleet,
    private val records: SoakRecords,
    private val seed: Long,
    count: Int,
) {
    private val threads = CallerThreads("caller", count, ::call)

    fun start() = threads.start()

    fun stop() = threads.stop()

    private fun call(number: Int) {
        val random = Random(seed * PRIME + number)
        val client = soakClient()
        var requests = 0
        while (!threads.isStopRequested) {
            val node = fleet.readyNodes.ifEmpty { fleet.nodes }.random(random)
            val key = if (random.nextInt(10) < 4) LIMITED_KEY else listOf(STEADY_KEY, ROTATED_KEY).random(random)
            records.calls += client.call(fleet, "c$number-${++requests}", SoakKind.entries.random(random), node, key)
            pause(random.nextLong(PAUSE_MILLIS))
        }
    }

    private companion object {
        const val PRIME = 1_000_003L
        const val PAUSE_MILLIS = 60L
    }
}

internal fun soakClient(): HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
    .connectTimeout(Duration.ofSeconds(1)).build()

/** Sends one online request and reads its response to the end or until the connection fails. */
internal fun HttpClient.call(fleet: SoakFleet, id: String, kind: SoakKind, node: String, key: String): SoakCall {
    val sentMillis = nowMillis()
    val request = HttpRequest.newBuilder(URI("http://${fleet.callerAddress(node)}${kind.prefix}$id"))
        .POST(HttpRequest.BodyPublishers.ofString("input of $id"))
        .header("Host", HOST).header("X-Request-Id", id).header("X-Deadline-Ms", CALL_TIMEOUT_MILLIS.toString())
        .header("X-Credential", key)
        .timeout(Duration.ofMillis(CALL_TIMEOUT_MILLIS)).build()
    fun record(
        status: Int,
        body: String,
        isComplete: Boolean,
        answer: ServerAnswer?,
        failure: String? = null,
    ): SoakCall {
        val isStamped = answer != null
        return SoakCall(
            id, kind, node, key, sentMillis, nowMillis(), status, body, isStamped, isComplete, failure, answer,
        )
    }
    return try {
        val response = send(request, HttpResponse.BodyHandlers.ofInputStream())
        val answer = serverAnswer(response.headers())
        val (body, isComplete) = readAll(response.body())
        record(response.statusCode(), body, isComplete, answer)
    } catch (failure: IOException) {
        record(status = 0, body = "", isComplete = false, answer = null, failure = failure.toString())
    }
}

/** Returns null for a response without the stamp of a server. */
private fun serverAnswer(headers: HttpHeaders): ServerAnswer? =
    headers.firstValue("X-Server-Stamp").getOrNull()?.let { stamp ->
        ServerAnswer(
            server = stamp.removePrefix("stamp-"),
            atMillis = nowMillis(),
            isLeaving = headers.firstValue("Server-Leaving").getOrNull() == "1",
            requestLimit = headers.firstValue("Server-Limit").getOrNull(),
        )
    }

/** Reads the body of a response; the second value tells whether it ended normally. */
private fun readAll(stream: InputStream): Pair<String, Boolean> {
    val bytes = ByteArrayOutputStream()
    return try {
        stream.use { it.transferTo(bytes) }
        bytes.toString(Charsets.UTF_8) to true
    } catch (failure: IOException) {
        bytes.toString(Charsets.UTF_8) to false
    }
}

internal const val HOST = "h.example"
private const val CALL_TIMEOUT_MILLIS = 5_000L
