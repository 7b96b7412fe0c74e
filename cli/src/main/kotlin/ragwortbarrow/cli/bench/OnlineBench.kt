package ragwortbarrow.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.net.URI
import java.net.http.HttpRequest
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/**
 * `ragwortbarrow bench online`: the latency that a node adds. Blocks of requests straight to the engine and through the
 * node alternate in one run, so that both see the same conditions of the machine.
 */
class OnlineBench : CliktCommand(name = "online") {
    private val nodeUrl by option("--node-url", help = "Node to measure").required()
    private val engineUrl by option("--engine-url", help = "Engine that the node uses").required()
    private val key by option("--key", help = "Key of a customer").required()
    private val model by option("--model").default("wording")
    private val rate by option("--rate", help = "Requests per second").int().restrictTo(1, 20_000).default(1_000)
    private val seconds by option(
        "--seconds",
        help = "Seconds of load on each path",
    ).int().restrictTo(1, 600).default(20)
    private val warmupSeconds by option("--warmup-seconds").int().restrictTo(0, 600).default(5)
    private val blockSeconds by option("--block-seconds", help = "Length of a block").int().restrictTo(1, 60).default(2)
    private val tokens by option("--tokens", help = "Tokens of each answer").int().restrictTo(1, 4_096).default(16)
    private val stream by option("--stream", help = "Ask for streams").flag()

    private val expected = ConcurrentHashMap<Int, String>()

    override fun help(context: Context): String = "Measure the latency that a node adds to an engine."

    override fun run() {
        val generator = LoadGenerator(rate)
        val direct = PathResult()
        val node = PathResult()
        // Without warm-up, the first blocks would measure the just-in-time compiler.
        block(generator, warmupSeconds, engineUrl, PathResult())
        block(generator, warmupSeconds, nodeUrl, PathResult())
        var restSeconds = seconds
        while (restSeconds > 0) {
            val length = minOf(blockSeconds, restSeconds)
            block(generator, length, engineUrl, direct)
            block(generator, length, nodeUrl, node)
            restSeconds -= length
        }
        echo(direct.line("direct"))
        echo(node.line("node"))
        val added = PERCENTILES.joinToString(" ") { (name, percentile) ->
            "%s_ms=%.2f".format(name, node.millisAt(percentile) - direct.millisAt(percentile))
        }
        echo("added $added rate=$rate seconds=$seconds stream=$stream")
        if (node.errors.get() + node.incomplete.get() + node.notSent.get() > 0) throw ProgramResult(1)
    }

    private fun block(generator: LoadGenerator, seconds: Int, url: String, result: PathResult) =
        generator.run(rate * seconds, result, { request(url, it) }, ::isComplete)

    private fun request(url: String, index: Int): HttpRequest {
        val prompt = "bench prompt ${index % PROMPTS}"
        val body = """{"model":"$model","stream":$stream,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"$prompt"}]}"""
        return HttpRequest.newBuilder(URI("${url.trimEnd('/')}/v1/chat/completions"))
            .timeout(Duration.ofSeconds(30))
            .header("Content-Type", "application/json")
            .header("Authorization", "Bearer $key")
            .header("X-Request-Id", "bench-$index-${System.nanoTime()}")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
    }

    /** The engine's text depends on the prompt only, so every answer to a prompt must have the same text. */
    private fun isComplete(index: Int, body: String): Boolean {
        val text = try {
            if (stream) streamText(body) else wholeText(body)
        } catch (_: SerializationException) {
            null
        } ?: return false
        return text == expected.computeIfAbsent(index % PROMPTS) { text }
    }

    private fun wholeText(body: String): String = choice(body).getValue("message").jsonObject.content()

    private fun streamText(body: String): String? {
        val events = body.lineSequence().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }.toList()
        if (events.lastOrNull() != "[DONE]" || events.size != tokens + 1) return null
        return events.dropLast(1).joinToString("") { choice(it).getValue("delta").jsonObject.content() }
    }

    private fun choice(json: String) =
        Json.parseToJsonElement(json).jsonObject.getValue("choices").jsonArray.first().jsonObject

    private fun Map<String, kotlinx.serialization.json.JsonElement>.content() =
        getValue("content").jsonPrimitive.content

    private fun PathResult.line(path: String): String {
        val percentiles = PERCENTILES.joinToString(" ") { (name, value) -> "%s_ms=%.2f".format(name, millisAt(value)) }
        return "path=$path $percentiles sent=$sent errors=$errors incomplete=$incomplete not_sent=$notSent"
    }

    private companion object {
        const val PROMPTS = 64
        val PERCENTILES = listOf("p50" to 50.0, "p99" to 99.0, "p999" to 99.9)
    }
}
