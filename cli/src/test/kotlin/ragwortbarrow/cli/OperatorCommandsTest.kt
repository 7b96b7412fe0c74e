package ragwortbarrow.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import ragwortbarrow.core.ids.FailureDomainId
import ragwortbarrow.core.ids.KeyId
import ragwortbarrow.core.ids.VmId
import ragwortbarrow.core.keys.sha256Hex
import ragwortbarrow.core.membership.VmLease
import ragwortbarrow.core.peer.GossipMessage
import ragwortbarrow.core.peer.KeyUpdate
import ragwortbarrow.core.peer.MemberInfo
import ragwortbarrow.core.peer.PeerConnector
import ragwortbarrow.core.peer.PeerError
import ragwortbarrow.core.peer.PeerService
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.objectapi.SystemTimerService
import ragwortbarrow.standins.platform.PlatformFaults
import ragwortbarrow.standins.platform.PlatformServer
import ragwortbarrow.standins.platform.VmRecord
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.lang.reflect.Proxy
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.io.path.writeText

/** Guards what operators see: exit codes, the place of a fault, the winner of a race, and nodes that did not confirm. */
class OperatorCommandsTest {
    private val timer = SystemTimerService()
    private val server = PlatformServer(timer).start()
    private val withdrawnOn = ConcurrentHashMap<String, KeyId>()
    private val silent = mutableSetOf<String>()

    @TempDir
    lateinit var folder: Path

    @AfterEach
    fun close() {
        server.stop()
        timer.close()
    }

    @Test
    fun `faults carry the field and the line and nothing is applied`() {
        val file = file("bad.yaml", manifest.replace("burst: 20", "burst: 0").replace("[blurb]", "[unknown]"))
        val checked = ManifestCheckCommand().test(file)
        expectThat(checked.statusCode).isEqualTo(ExitCodes.BAD_USAGE)
        expectThat(checked.stderr).contains("line 8: customers[0].burst: must be over 0, not 0")
        expectThat(checked.stderr).contains("line 15: backendServers[0].models[0]: unknown model 'unknown'")
        expectThat(ManifestApplyCommand().run(file).statusCode).isEqualTo(ExitCodes.BAD_USAGE)
        expectThat(server.calls.total).isEqualTo(0)
    }

    @Test
    fun `a JSON manifest with a fault has its line too`() {
        val json = "{\n\"name\": \"t\",\n\"fleet\": {\"failureDomains\": [\n{\"id\": \"\"}]}}"
        expectThat(
            ManifestCheckCommand().test(file("bad.json", json)).stderr,
        ).contains("line 4: fleet.failureDomains[0].id")
        expectThat(
            ManifestCheckCommand().test(file("cut.json", json.dropLast(2))).statusCode,
        ).isEqualTo(ExitCodes.BAD_USAGE)
    }

    @Test
    fun `applying publishes a version, grants the keys, and refuses an expected version that lost`() {
        val file = file("good.yaml", manifest)
        expectThat(ManifestApplyCommand().run(file)).and {
            get { statusCode }.isEqualTo(ExitCodes.DONE)
            get { stdout }.contains("version 1 published")
        }
        expectThat(read(ObjectKind.KEY_GRANTS, "k1")).contains(sha256Hex("secret"))
        expectThat(ManifestApplyCommand().run("--expect-version 0 $file")).and {
            get { statusCode }.isEqualTo(ExitCodes.REFUSED)
            get { stderr }.contains("version 1 of ")
        }
    }

    @Test
    fun `a manifest with batch jobs is refused before anything is published`() {
        val jobs = "batchJobs:\n  - {id: night, customer: customer-1, inputFile: lots.jsonl}\n"
        val applied = ManifestApplyCommand().run(file("jobs.yaml", manifest.trimEnd() + "\n" + jobs))
        expectThat(applied.statusCode).isEqualTo(ExitCodes.REFUSED)
        expectThat(applied.stderr).contains("batchJobs")
        expectThat(server.calls.total).isEqualTo(0)
    }

    @Test
    fun `status shows the version that a node rejected and why`() {
        ManifestApplyCommand().run(file("good.yaml", manifest))
        val lease = VmLease(1, FailureDomainId("dalton"), "vm-1", "", 30_000, 1, 0, 1, "slots")
        server.store.put(ObjectKind.VM_LEASES, "vm-1", lease.toSpec())
        expectThat(ConfigStatusCommand().run("").stdout).and {
            contains("published: version 1")
            contains("vm-1 failure_domain=dalton applied=0 rejected=1 reason=\"slots\"")
        }
    }

    @Test
    fun `a granted key is printed once and only its digest is stored`() {
        val output = KeyGrantCommand().run("--customer customer-1 --id k9").stdout
        val key = output.substringAfter("key=").trim()
        expectThat(read(ObjectKind.KEY_GRANTS, "k9")).and {
            contains(sha256Hex(key))
            get { contains(key) }.isEqualTo(false)
        }
        expectThat(KeyGrantCommand().run("--customer customer-1 --id k9").statusCode).isEqualTo(ExitCodes.REFUSED)
    }

    @Test
    fun `a withdrawal reaches the platform and the nodes and names those that do not confirm`() {
        server.putVm("vm-1", VmRecord("dalton", "10.0.0.1:1"))
        server.putVm("vm-2", VmRecord("dalton", "10.0.0.2:1"))
        expectThat(withdraw("k1")).and {
            get { stderr }.isEqualTo("")
            get { statusCode }.isEqualTo(ExitCodes.DONE)
        }
        expectThat(withdrawnOn.keys.size).isEqualTo(2)
        expectThat(read(ObjectKind.KEY_TOMBSTONES, "k1")).contains("writer")
        silent += "10.0.0.2:1"
        expectThat(withdraw("k2")).and {
            get { statusCode }.isEqualTo(ExitCodes.REFUSED)
            get { stderr }.contains("not confirmed: vm-2")
        }
        expectThat(KeyGrantCommand().run("--customer customer-1 --id k1").stderr).contains("never granted again")
    }

    @Test
    fun `a withdrawal during an outage reaches the nodes that a named node knows of`() {
        server.faults = PlatformFaults(outage = true)
        expectThat(withdraw("k1 --node 10.0.0.1:1")).and {
            get { statusCode }.isEqualTo(ExitCodes.REFUSED)
            get { stderr }.contains("the nodes are not known")
        }
        expectThat(withdrawnOn.keys.toSet()).isEqualTo(setOf("10.0.0.1:1", "10.0.0.2:1"))
    }

    @Test
    fun `a missing platform URL is bad usage`() {
        val result = ConfigStatusCommand().test("", envvars = emptyMap())
        expectThat(result.statusCode != ExitCodes.DONE).isTrue()
        expectThat(result.stderr).contains("--platform-url")
    }

    private fun withdraw(arguments: String) = KeyWithdrawCommand { PeerConnector(::node) }.run(arguments)

    private fun node(address: String): PeerService = object : PeerService by unsupportedPeer {
        override suspend fun exchange(message: GossipMessage) =
            Ok(GossipMessage(listOf("10.0.0.1:1", "10.0.0.2:1").map { member(it) }))

        override suspend fun updateKeys(update: KeyUpdate) = if (address in silent) {
            Err(PeerError.Unreachable("$address is down"))
        } else {
            withdrawnOn[address] = update.tombstones.single()
            Ok(KeyUpdate())
        }
    }

    private fun member(address: String) =
        MemberInfo(VmId("vm-$address"), 1, 1, FailureDomainId("dalton"), address, address)

    private fun CliktCommand.run(arguments: String): CliktCommandTestResult =
        test("--platform-url ${server.url} $arguments")

    private fun file(name: String, text: String) = folder.resolve(name).also { it.writeText(text) }.toString()

    private fun read(kind: ObjectKind, name: String): String = runBlocking { server.store.get(kind, name).toString() }

    private companion object {
        val manifest = """
            name: tuftline
            fleet:
              failureDomains:
                - id: dalton
            customers:
              - id: customer-1
                ratePerSecond: 5
                burst: 20
            models:
              - id: blurb
            backendServers:
              - id: engine-1
                url: http://10.0.0.1:8000
                failureDomain: dalton
                models: [blurb]
            keys:
              - id: k1
                customer: customer-1
                sha256: ${sha256Hex("secret")}
        """.trimIndent()
        val unsupportedPeer = Proxy.newProxyInstance(
            PeerService::class.java.classLoader,
            arrayOf(PeerService::class.java),
        ) { _, method, _ -> error("${method.name} is not expected here") } as PeerService
    }
}
