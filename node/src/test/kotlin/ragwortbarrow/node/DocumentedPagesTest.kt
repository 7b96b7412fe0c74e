package ragwortbarrow.node

import com.github.ajalt.clikt.parameters.options.OptionWithValues
import org.junit.jupiter.api.Test
import ragwortbarrow.core.error.ResultCode
import ragwortbarrow.core.store.ObjectKind
import ragwortbarrow.core.time.ManualTimerService
import ragwortbarrow.node.drain.Drain
import ragwortbarrow.node.metrics.NodeGauges
import ragwortbarrow.node.metrics.NodeMetrics
import ragwortbarrow.node.settings.NodeCommand
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** Verifies that the documentation lists every setting, result code and metric with the values used in the code. */
class DocumentedPagesTest {
    @Test
    fun `docs settings md has every flag with its variable`() {
        val documented = rows("settings.md").map { it[0] to it[1] }
        val flags = NodeCommand {}.registeredOptions().filter { it.names.none(::isStandard) }
            .map { it.names.single() to (it as OptionWithValues<*, *, *>).envvar.orEmpty() }
        expectThat(documented.toSet()).isEqualTo(flags.toSet())
    }

    @Test
    fun `docs result-codes md has every code with its name and status`() {
        val documented = rows("result-codes.md").map { Triple(it[0], it[1], it[2]) }
        val codes = ResultCode.entries.map { Triple(it.number.toString(), it.name, it.httpStatus.toString()) }
        expectThat(documented).isEqualTo(codes)
    }

    @Test
    fun `docs metrics md has every metric of a node`() {
        val documented = rows("metrics.md").map { it[0] }
        val metrics = NodeMetrics().apply {
            recordRequest("models", status = 200, nanos = 1)
            recordFirstEvent(nanos = 1)
            countRefusal(ResultCode.DRAINING)
            countPlatformCall("get", ObjectKind.VMS, "ok", durationNanos = 1)
            registerGauges(NodeGauges(drain = Drain(ManualTimerService())))
        }
        val names = metrics.scrape().lines().filter { it.startsWith("# TYPE ragwortbarrow_") }
            .map { it.split(' ')[2] }.filter { !it.endsWith("_max") }
        expectThat(documented.toSet()).isEqualTo(names.toSet())
    }

    private fun isStandard(flag: String) = flag == "--help" || flag == "--version"

    /** Returns the cells of the table on [page], without backticks. */
    private fun rows(page: String): List<List<String>> = Files.readAllLines(Path.of("..", "docs", page))
        .filter { it.startsWith("| ") }
        .drop(1)
        .map { line -> line.trim('|').split('|').map { it.trim().removeSurrounding("`") } }
}
