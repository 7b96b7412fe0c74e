package ragwortbarrow.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.forms.MultiPartFormDataContent
import io.ktor.client.request.forms.formData
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readUTF8Line
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException

/** A node's HTTP API as a customer uses it. Errors are messages for a person. */
class NodeApi(nodeUrl: String, private val key: String?) : AutoCloseable {
    private val base = nodeUrl.trimEnd('/')
    private val http = HttpClient(CIO) {
        expectSuccess = false
        engine { requestTimeout = 0 }
    }

    suspend fun get(path: String): Result<ByteArray, String> = whole(HttpMethod.Get, path)

    suspend fun getJson(path: String): Result<JsonObject, String> = get(path).map { it.asJson() }

    /** Sends [body], or no body; [idempotencyKey] lets a resent request have the same effect. */
    suspend fun postJson(
        path: String,
        body: JsonObject? = null,
        idempotencyKey: String? = null,
    ): Result<JsonObject, String> = whole(HttpMethod.Post, path) {
        idempotencyKey?.let { header("Idempotency-Key", it) }
        body?.let { json(it) }
    }.map { it.asJson() }

    /** Uploads a file of batch items. */
    suspend fun upload(fileName: String, content: ByteArray): Result<JsonObject, String> =
        whole(HttpMethod.Post, "/v1/files") {
            val fields = formData {
                append("purpose", "batch")
                append(
                    "file",
                    content,
                    Headers.build { append(HttpHeaders.ContentDisposition, "filename=\"$fileName\"") },
                )
            }
            setBody(MultiPartFormDataContent(fields))
        }.map { it.asJson() }

    /** Sends [body] and hands over each line of the answer as it comes. */
    suspend fun stream(path: String, body: JsonObject, onLine: (String) -> Unit): Result<Unit, String> = calling {
        http.prepareRequest {
            prepare(HttpMethod.Post, path)
            json(body)
        }.execute { response ->
            if (!response.status.isSuccess()) return@execute Err(response.fault())
            val channel = response.bodyAsChannel()
            while (true) onLine(channel.readUTF8Line() ?: break)
            Ok(Unit)
        }
    }

    override fun close(): Unit = http.close()

    private suspend fun whole(
        method: HttpMethod,
        path: String,
        fill: HttpRequestBuilder.() -> Unit = {},
    ): Result<ByteArray, String> = calling {
        http.prepareRequest {
            prepare(method, path)
            fill()
        }.execute { response ->
            if (response.status.isSuccess()) Ok(response.bodyAsBytes()) else Err(response.fault())
        }
    }

    private suspend fun <T> calling(call: suspend () -> Result<T, String>): Result<T, String> = try {
        call()
    } catch (failure: IOException) {
        Err("the node at $base cannot be reached: ${failure.message}")
    }

    private fun HttpRequestBuilder.prepare(httpMethod: HttpMethod, path: String) {
        method = httpMethod
        url(base + path)
        key?.let { bearerAuth(it) }
    }

    private fun HttpRequestBuilder.json(body: JsonObject) {
        contentType(ContentType.Application.Json)
        setBody(body.toString())
    }

    private fun ByteArray.asJson(): JsonObject = Json.parseToJsonElement(decodeToString()).jsonObject

    private suspend fun HttpResponse.fault(): String {
        val body = bodyAsBytes()
        val error = runCatching { body.asJson()["error"]?.jsonObject }.getOrNull()
            ?: return "status ${status.value}: ${body.decodeToString()}"
        val parts = listOf("code", "message", "execution").map { error[it]?.jsonPrimitive?.content }
        return "status ${status.value}, code ${parts[0]}: ${parts[1]} (${parts[2]})"
    }
}
