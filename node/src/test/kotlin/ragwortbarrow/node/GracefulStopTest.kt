package ragwortbarrow.node

import com.github.michaelbull.result.get
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import ragwortbarrow.core.config.ConfigurationPublisher
import ragwortbarrow.core.ids.BackendServerId
import ragwortbarrow.core.ids.CustomerId
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.keys.KeyGrant
import ragwortbarrow.core.keys.KeyObjects
import ragwortbarrow.core.keys.sha256Hex
import ragwortbarrow.core.manifest.BackendServer
import ragwortbarrow.core.manifest.Customer
import ragwortbarrow.core.manifest.FailureDomain
import ragwortbarrow.core.manifest.Fleet
import ragwortbarrow.core.manifest.Manifest
import ragwortbarrow.core.manifest.Model
import ragwortbarrow.core.store.IdempotentWriter
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.objectapi.SystemTimerService
import ragwortbarrow.standins.LoopbackPorts
import ragwortbarrow.standins.engine.EngineServer
import ragwortbarrow.standins.engine.EngineSettings
import ragwortbarrow.standins.platform.PlatformServer
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * Guards that SIGTERM cuts no request of a node process. Ktor's own shutdown hook used to stop the server as soon as the
 * signal came, beside the drain.
 */
@Timeout(120, unit = TimeUnit.SECONDS)
class GracefulStopTest {
    private val timer = SystemTimerService()
    private val platform = PlatformServer(timer).start()
    private val engine = EngineServer(EngineSettings(models = listOf("blurbs"), betweenTokensMillis = 20.0)).start()
    private val httpPort = freePort()
    private val client = HttpClient.newHttpClient()
    private val process = startNode()

    @AfterEach
    fun stop() {
        process.destroyForcibly()
        engine.stop()
        platform.stop()
        timer.close()
    }

    @Test
    fun `a stream that runs at SIGTERM ends complete, and the node then exits and releases its lease`() {
        publish()
        await { send("/readyz").statusCode() == 200 }
        await { send("/v1/chat/completions", body(tokens = 1)).statusCode() == 200 }
        val stream = client.send(request("/v1/chat/completions", body(tokens = 100)), BodyHandlers.ofLines())
        val lines = stream.body().iterator()
        expectThat(lines.next()).isEqualTo("id: 0")
        process.destroy()
        await { send("/readyz").statusCode() == 503 }
        expectThat(lines.asSequence().toList()).contains("id: 99").contains("data: [DONE]")
        expectThat(process.waitFor(60, TimeUnit.SECONDS)).isEqualTo(true)
        expectThat(process.exitValue()).isEqualTo(SIGTERM_EXIT)
        val leases = runBlocking { platform.store.list(ObjectKind.VM_LEASES) }.get()?.items
        expectThat(leases).isEqualTo(emptyList())
    }

    private fun publish() = runBlocking {
        val writer = IdempotentWriter(platform.store, timer, "operator")
        ConfigurationPublisher(platform.store, writer).publish(
            Manifest(
                name = "test",
                fleet = Fleet(listOf(FailureDomain(DOMAIN))),
                models = listOf(Model("blurbs")),
                customers = listOf(Customer(CustomerId("mill"), ratePerSecond = 100.0, burst = 100)),
                backendServers = listOf(
                    BackendServer(BackendServerId("e1"), engine.url, DOMAIN, models = listOf("blurbs")),
                ),
            ),
        )
        val grant = KeyGrant(KeyId("k1"), CustomerId("mill"), sha256Hex("secret"))
        writer.create(ObjectKind.KEY_GRANTS, "k1", KeyObjects.specOf(grant))
    }

    private fun startNode(): Process {
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val arguments = listOf(
            "--vm-id=vm-1",
            "--failure-domain=$DOMAIN",
            "--listen=127.0.0.1:$httpPort",
            "--peer-listen=127.0.0.1:${freePort()}",
            "--platform-url=${platform.url}",
            "--drain-delay-millis=500",
        )
        return ProcessBuilder(listOf(java, "-Xmx128m", "-cp", classPath, "ragwortbarrow.node.MainKt") + arguments)
            .redirectErrorStream(true)
            .redirectOutput(Path.of("target", "graceful-stop.log").toFile())
            .start()
    }

    private fun body(tokens: Int) =
        """{"model":"blurbs","stream":true,"max_tokens":$tokens,"messages":[{"role":"user","content":"rug"}]}"""

    private fun send(path: String, body: String? = null): HttpResponse<String> =
        client.send(request(path, body), BodyHandlers.ofString())

    private fun request(path: String, body: String?): HttpRequest =
        HttpRequest.newBuilder(URI("http://127.0.0.1:$httpPort$path"))
            .header("Authorization", "Bearer secret")
            .apply { if (body == null) GET() else POST(BodyPublishers.ofString(body)) }
            .build()

    private fun await(condition: () -> Boolean) {
        while (true) {
            try {
                if (condition()) return
            } catch (_: IOException) {
                // The node does not listen yet.
            }
            check(process.isAlive) { "the node has ended; see target/graceful-stop.log" }
        }
    }

    private companion object {
        val DOMAIN = FailureDomainId("dalton")

        /** What the JVM exits with after its shutdown hooks have run for SIGTERM. */
        const val SIGTERM_EXIT = 143

        fun freePort(): Int = LoopbackPorts.free()
    }
}
