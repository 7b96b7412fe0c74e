package ragwortbarrow.cli.dev

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import ragwortbarrow.cli.bench.LoadGenerator
import ragwortbarrow.cli.bench.PathResult
import java.net.URI
import java.net.http.HttpRequest
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import kotlin.io.path.readLines

/**
 * `ragwortbarrow dev traffic`: sends the requests of a batch file as online calls and checks that every answer came
 * back once.
 */
class DevTraffic : CliktCommand(name = "traffic") {
    private val nodeUrls by option("--node-url", help = "Node to send to; may be repeated").multiple(required = true)
    private val key by option("--key", envvar = "RAGWORTBARROW_KEY", help = "Key of a customer").required()
    private val file by option("--file", help = "Batch items, one JSON request a line")
        .path(mustExist = true, canBeDir = false).required()
    private val rate by option("--rate", help = "Requests per second").int().restrictTo(1, 5_000).required()

    private val answerIds = ConcurrentHashMap.newKeySet<String>()

    override fun help(context: Context): String = "Send the requests of a batch file as online calls."

    override fun run() {
        val items = file.readLines().filter { it.isNotBlank() }.map { Json.parseToJsonElement(it).jsonObject }
        val result = PathResult()
        LoadGenerator(rate).run(items.size, result, { request(it, items[it]) }) { _, body -> isAnswer(body) }
        val answered = result.latencies.totalCount
        echo(
            "online sent=${items.size} answered=$answered refused=${result.errors} wrong=${result.incomplete} " +
                "p50_ms=%.1f p99_ms=%.1f".format(result.millisAt(50.0), result.millisAt(99.0)),
        )
        if (answered != items.size.toLong()) throw ProgramResult(1)
    }

    private fun request(index: Int, item: JsonObject): HttpRequest {
        val url = nodeUrls[index % nodeUrls.size].trimEnd('/') + item.getValue("url").jsonPrimitive.content
        return HttpRequest.newBuilder(URI(url))
            .timeout(Duration.ofSeconds(30))
            .header("Content-Type", "application/json")
            .header("Authorization", "Bearer $key")
            .POST(HttpRequest.BodyPublishers.ofString(item.getValue("body").toString()))
            .build()
    }

    /** A whole answer with an id that no other answer had. */
    private fun isAnswer(body: String): Boolean {
        val answer = runCatching { Json.parseToJsonElement(body).jsonObject }.getOrNull() ?: return false
        val id = answer["id"]?.jsonPrimitive?.content ?: return false
        return answer["choices"]?.jsonArray?.isNotEmpty() == true && answerIds.add(id)
    }
}
