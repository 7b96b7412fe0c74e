package ragwortbarrow.node.settings

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Verifies that all invalid settings are reported at once, each with its flag. */
class NodeCommandTest {
    private val started = mutableListOf<Settings>()
    private val command = NodeCommand { started += it }

    @Test
    fun `all invalid flags are reported together`() {
        val result = command.runCommand(
            listOf("--listen", "example:80", "--platform-url", "ftp://x", "--drain-limit-millis", "soon"),
        )
        expectThat(result.exitCode).isEqualTo(2)
        expectThat(result.text).contains("--vm-id").contains("--failure-domain").contains("--listen")
            .contains("--platform-url").contains("--drain-limit-millis")
        expectThat(started).containsExactly()
    }

    @Test
    fun `conflicts between settings are reported together`() {
        val result = command.runCommand(
            required("--listen", "0.0.0.0:80", "--request-timeout-millis", "0", "--drain-delay-millis", "-1"),
        )
        expectThat(result.exitCode).isEqualTo(2)
        expectThat(result.text).contains("--advertise").contains("--request-timeout-millis")
            .contains("--drain-delay-millis")
    }

    @Test
    fun `defaults are applied and advertised addresses default to the listen addresses`() {
        expectThat(command.runCommand(required("--listen", "10.0.0.1:80")).exitCode).isEqualTo(0)
        expectThat(started.single().advertise).isEqualTo(HostAndPort("10.0.0.1", 80))
        expectThat(started.single().peerAdvertise).isEqualTo(HostAndPort("127.0.0.1", 8081))
        expectThat(started.single().bodyLimitBytes).isNull()
    }

    @Test
    fun `addresses consist of an IP address and a port`() {
        expectThat(HostAndPort.parse("[::1]:8080")).isEqualTo(HostAndPort("::1", 8080))
        expectThat(HostAndPort.parse("10.0.0.1:70000")).isNull()
        expectThat(HostAndPort.parse("mill.example:80")).isNull()
    }

    private fun required(vararg more: String): List<String> =
        listOf("--vm-id", "vm-1", "--failure-domain", "dalton", "--platform-url", "http://127.0.0.1:1") + more
}
