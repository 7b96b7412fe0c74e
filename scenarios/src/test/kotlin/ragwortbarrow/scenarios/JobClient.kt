package ragwortbarrow.scenarios

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Submits batch jobs as an OpenAI client does and resends each until a node acknowledges it. */
internal class JobClient(private val key: String) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun submit(name: String, items: Int, poisonEvery: Int, url: String): String {
        val content = (0 until items).joinToString("\n") { index ->
            val poison = if (poisonEvery > 0 && index % poisonEvery == poisonEvery - 1) " poison" else ""
            val body = """{"model":"model","prompt":"$name item $index$poison","max_tokens":8}"""
            """{"custom_id":"item-$index","method":"POST","url":"/v1/completions","body":$body}"""
        }
        var id: String? = null
        waitFor(120, "acknowledgement of job $name") {
            id = runCatching { tryToSubmit(name, content, url) }.getOrNull()
            id != null
        }
        return checkNotNull(id)
    }

    private fun tryToSubmit(name: String, content: String, url: String): String? {
        val boundary = "ragwortbarrow-scenario"
        val form = "--$boundary\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n" +
            "--$boundary\r\nContent-Disposition: form-data; name=\"file\"; filename=\"$name.jsonl\"\r\n" +
            "Content-Type: application/jsonl\r\n\r\n$content\r\n--$boundary--\r\n"
        val uploaded = json(post("$url/v1/files", form, "multipart/form-data; boundary=$boundary")) ?: return null
        val request = buildJsonObject {
            put("input_file_id", uploaded.text("id"))
            put("endpoint", "/v1/completions")
            put("completion_window", "24h")
        }
        return json(post("$url/v1/batches", request.toString(), "application/json", name))?.text("id")
    }

    fun cancel(id: String, url: String) = post("$url/v1/batches/$id/cancel", "", "application/json")

    fun status(id: String, url: String): JsonObject? = json(get("$url/v1/batches/$id"))

    /** Returns the results of a job with their custom ids; an id that occurs twice has two entries. */
    fun results(id: String, url: String): List<Pair<String, JsonObject>>? {
        val fileId = status(id, url)?.text("output_file_id") ?: return null
        val content = get("$url/v1/files/$fileId/content").takeIf { it.statusCode() == 200 } ?: return null
        return content.body().lines().filter { it.isNotBlank() }.map { line ->
            val result = Json.parseToJsonElement(line).jsonObject
            result.getValue("custom_id").jsonPrimitive.content to result
        }
    }

    private fun post(url: String, body: String, type: String, idempotencyKey: String? = null): HttpResponse<String> {
        val builder = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(60)).header("Content-Type", type)
            .header("Authorization", "Bearer $key")
        idempotencyKey?.let { builder.header("Idempotency-Key", it) }
        val request = builder.POST(HttpRequest.BodyPublishers.ofString(body)).build()
        return client.send(request, HttpResponse.BodyHandlers.ofString())
    }

    private fun get(url: String): HttpResponse<String> = client.send(
        HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(60)).header("Authorization", "Bearer $key").build(),
        HttpResponse.BodyHandlers.ofString(),
    )

    private fun json(response: HttpResponse<String>): JsonObject? =
        response.takeIf { it.statusCode() == 200 }?.let { Json.parseToJsonElement(it.body()).jsonObject }
}

internal fun JsonObject.text(field: String): String? = (get(field) as? JsonPrimitive)?.contentOrNull

internal fun JsonObject.requestCount(field: String): Int =
    getValue("request_counts").jsonObject.getValue(field).jsonPrimitive.int
