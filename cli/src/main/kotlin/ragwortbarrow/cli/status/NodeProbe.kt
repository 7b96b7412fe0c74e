package ragwortbarrow.cli.status

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import java.io.IOException

/** Asks nodes directly whether they are ready. */
internal class NodeProbe(timeoutMillis: Long = 1_000) : AutoCloseable {
    private val http = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { requestTimeoutMillis = timeoutMillis }
    }

    /** `ready`, the reason why not, or `unreachable`. */
    suspend fun state(httpAddress: String): String = try {
        val answer = http.get("http://$httpAddress/readyz")
        if (answer.status.isSuccess()) "ready" else answer.bodyAsText().trim().ifEmpty { "not-ready" }
    } catch (_: IOException) {
        "unreachable"
    }

    override fun close(): Unit = http.close()
}
