package ragwortbarrow.scenarios

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import ragwortbarrow.standins.engine.EngineText
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Result of one request as its caller observed it. */
internal data class CallResult(
    val requestId: String?,
    val status: Int,
    val code: Int? = null,
    val execution: String? = null,
    val isComplete: Boolean = false,
    val mismatch: String? = null,
    val sentNanos: Long = 0,
    val doneNanos: Long = 0,
)

/** Sends requests at a fixed rate, regardless of the responses, and checks that each response fits its request. */
internal class LoadGenerator(
    private val send: Send,
    private val key: String?,
    private val urls: List<String>,
    private val chooseUrl: (Int, List<String>) -> String,
) {
    private val scheduler = Executors.newScheduledThreadPool(2) { Thread(it).apply { isDaemon = true } }
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(5)).build()
    private val results = List(send.requests) { CompletableFuture<CallResult>() }

    fun start() {
        val periodNanos = (TimeUnit.SECONDS.toNanos(1) / send.ratePerSecond).toLong()
        results.forEachIndexed { index, result ->
            scheduler.schedule({ call(index, result) }, index * periodNanos, TimeUnit.NANOSECONDS)
        }
    }

    /** Waits until every request has ended and returns the results. */
    fun await(): List<CallResult> = results.map { it.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        .also { scheduler.shutdown() }

    private fun call(index: Int, result: CompletableFuture<CallResult>) {
        val sentNanos = System.nanoTime()
        val prompt = "${send.name} request $index"
        client.sendAsync(request(index, prompt), HttpResponse.BodyHandlers.ofString()).whenComplete {
                response,
                failure,
            ->
            val seen = if (response == null) {
                CallResult(null, status = 0, mismatch = null, code = null, execution = failure.toString())
            } else {
                check(response, prompt)
            }
            result.complete(seen.copy(sentNanos = sentNanos, doneNanos = System.nanoTime()))
        }
    }

    private fun request(index: Int, prompt: String): HttpRequest {
        val base = chooseUrl(index, urls)
        val isModel = send.kind == CallKind.WHOLE || send.kind == CallKind.STREAM
        val path = if (isModel) "/v1/completions" else "/${send.service}/entry-$index"
        val builder = HttpRequest.newBuilder(URI(base + path)).timeout(Duration.ofSeconds(60))
        key?.let { builder.header("Authorization", "Bearer $it") }
        if (send.kind == CallKind.GET) return builder.build()
        val stream = send.kind == CallKind.STREAM
        val json = """{"model":"model","prompt":"$prompt","max_tokens":$TOKENS,"stream":$stream}"""
        builder.header("Content-Type", "application/json")
        return builder.POST(HttpRequest.BodyPublishers.ofString(json)).build()
    }

    private fun check(response: HttpResponse<String>, prompt: String): CallResult {
        val requestId = response.headers().firstValue("X-Request-Id").orElse(null)
        val seen = CallResult(requestId, response.statusCode())
        val body = response.body()
        return when {
            response.statusCode() != 200 -> seen.withError(body)
            send.kind == CallKind.STREAM -> checkStream(seen, body, prompt)
            send.kind == CallKind.WHOLE -> checkText(seen, textOf(Json.parseToJsonElement(body).jsonObject), prompt)
            else -> seen.copy(isComplete = Json.parseToJsonElement(body).jsonObject.containsKey("path"))
        }
    }

    private fun checkStream(seen: CallResult, body: String, prompt: String): CallResult {
        val data = body.lines().filter { it.startsWith("data:") }.map { it.removePrefix("data:").trim() }
        val error = data.firstOrNull { it.startsWith("{\"error\"") }
        if (error != null) {
            return if ("[DONE]" in data) seen.copy(mismatch = "[DONE] after an error") else seen.withError(error)
        }
        if (data.lastOrNull() != "[DONE]") return seen.copy(mismatch = "the stream ends without [DONE] or an error")
        val text = data.dropLast(1).joinToString("") { textOf(Json.parseToJsonElement(it).jsonObject) }
        return checkText(seen, text, prompt)
    }

    private fun checkText(seen: CallResult, text: String, prompt: String): CallResult {
        val expected = EngineText.tokens(prompt, TOKENS).joinToString("")
        return if (text == expected) seen.copy(isComplete = true) else seen.copy(mismatch = "'$text', not '$expected'")
    }

    private fun textOf(answer: JsonObject) =
        answer.getValue("choices").jsonArray.first().jsonObject.getValue("text").jsonPrimitive.content

    private fun CallResult.withError(body: String): CallResult {
        val error = runCatching { Json.parseToJsonElement(body).jsonObject.getValue("error").jsonObject }.getOrNull()
            ?: return copy(mismatch = "status $status without an error body: $body")
        return copy(
            code = error.getValue("code").jsonPrimitive.int,
            execution = error.getValue("execution").jsonPrimitive.content,
        )
    }

    private companion object {
        const val TOKENS = 12
        const val TIMEOUT_SECONDS = 180L
    }
}
